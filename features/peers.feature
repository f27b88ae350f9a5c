Feature: Gossip members stay in sync across failures

  Scenario: A gateway that was frozen catches up before it serves
    Its host was paused for longer than the failure timeout of its peers. They
    have marked it dead, and it has missed the facts published meanwhile.
    Given 4 members of one region
    When member 2 is frozen
    Then the others list 3 members
    When member 0 publishes "runner-7"
    And member 2 resumes
    Then member 2 has "runner-7" once it is current
    And all list 4 members

  Scenario: A killed gateway is removed; its successor catches up from peers
    The host was lost without notice. The new process has the same name and no
    store to read from.
    Given 4 members of one region
    When member 0 publishes "runner-7"
    And member 1 is killed
    Then the others list 3 members
    When member 1 is started again
    Then member 1 has "runner-7" once it is current
    And all list 4 members
