Feature: Controllers apply the declaration to runners
  Each shard of runners has one lease holder, whichever controllers are up.

  Scenario: Runners load their versions even after the lease holders are killed
    All controllers die holding their leases. The one that restarts is a new
    holder: it waits until the leases expire, then loads the declared version.
    Given a system of 2 gateways and 2 engines with 2 controllers
    Then every engine has loaded v1
    When process controller-1 is killed
    And process controller-2 is killed
    And process controller-2 is started again
    And version v2 is declared for engine-1
    Then engine-1 has loaded v2
