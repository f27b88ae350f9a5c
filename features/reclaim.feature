Feature: Answers survive the loss of the runner that generates them
  Most runner hosts can be reclaimed, a whole failure domain at once.

  Scenario: A runner's host is reclaimed during a long draft
    The cloud gives three seconds of notice, then kills the process. The KV
    cache is moved before the draft, so almost nothing is recomputed.
    Given a system of 2 gateways and 3 engines
    When the host of a draft's runner gets a notice of 3 seconds
    Then each draft is complete
    And fewer than 64 tokens are recomputed

  Scenario: A reclaimed runner can't export its KV cache
    The draft moves as its prompt and the tokens generated so far. These are
    recomputed once, and only the last few tokens are generated twice.
    Given a system of 2 gateways and 3 engines
    And runners that abort exports at 0 percent
    When the host of a draft's runner gets a notice of 3 seconds
    Then each draft is complete
    And at least 440 tokens are recomputed
    And fewer than 40 tokens are generated twice

  Scenario: The export is aborted half-way
    The runner dies during the export. A partial KV cache is useless and must
    not be accepted as complete.
    Given a system of 2 gateways and 3 engines
    And runners that abort exports at 50 percent
    When the host of a draft's runner gets a notice of 3 seconds
    Then each draft is complete
    And at least 440 tokens are recomputed

  Scenario: A runner is killed without notice
    Given a system of 2 gateways and 3 engines
    When a draft's runner gets SIGKILL
    Then each draft is complete
    And at least 440 tokens are recomputed

  Scenario: A whole failure domain is lost at once, without notice
    Two of six runners are killed while six drafts run. The drafts on the two
    runners resume elsewhere, the others are unaffected, and no draft is
    blamed for crashing its runner.
    Given a system of 2 gateways and 6 engines
    When all runners of a draft's failure domain get SIGKILL
    Then each draft is complete
    And each draft can be requested again

  Scenario: A runner freezes in mid-answer
    The kernel still accepts connections for its process, but the process
    answers nothing.
    Given a system of 2 gateways and 3 engines
    When a draft's runner gets SIGSTOP
    Then each draft is complete

  Scenario: Connections to a runner go silent while new ones work
    A middlebox between gateway and runner dropped the state of the open
    connections. The rest of the answer is read over a new connection, and
    nothing is recomputed.
    Given a system of 2 gateways and 3 engines
    When a draft's runner gets the fault silence_now
    Then each draft is complete
    And fewer than 1 tokens are recomputed

  Scenario: A request that crashes its runner is sent to all gateways
    Its caller sends it to one gateway after another. At most two runners are
    lost, then the request is refused permanently. Concurrent drafts complete.
    Given a system of 3 gateways and 5 engines
    And runners that crash on a marked request
    When the marked request is sent to each gateway twice during drafts
    Then each draft is complete
    And the marked request was refused each time
    And at most 2 runners are lost
