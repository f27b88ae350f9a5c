Feature: Members keep up with each other, whatever happens to them

  Scenario: A gateway that was frozen catches up before it serves
    Its host was paused for longer than its peers waited; they hold it
    dead, and what was published meanwhile it has not heard.
    Given 4 members of one region
    When member 2 is frozen
    Then the others hold 3 members
    When member 0 publishes "runner-7"
    And member 2 goes on
    Then member 2 knows "runner-7" once it is current
    And all hold 4 members

  Scenario: A killed gateway is dropped, and its successor knows all at once
    The host was lost without notice; the new process has its name and no
    store to ask.
    Given 4 members of one region
    When member 0 publishes "runner-7"
    And member 1 is killed
    Then the others hold 3 members
    When member 1 is started again
    Then member 1 knows "runner-7" once it is current
    And all hold 4 members
