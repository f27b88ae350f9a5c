Feature: Controllers bring runners to what is declared
  Each shard of the runners has one lease holder, whichever controllers run.

  Scenario: Runners get their versions, also after the holders are killed
    All controllers die with their leases. The one that comes back is another
    holder: it waits until they have lapsed, and loads what was declared.
    Given a system of 2 gateways and 2 engines with 2 controllers
    Then every engine has loaded v1
    When process controller-1 is killed
    And process controller-2 is killed
    And process controller-2 is started again
    And version v2 is declared for engine-1
    Then engine-1 has loaded v2
