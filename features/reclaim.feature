Feature: Runners come and go without harm to the answers on them
  Most runner hosts can be reclaimed, a failure domain's worth at once.

  Scenario: A runner's host is reclaimed under a long draft
    The cloud gives three seconds of notice, then the process is gone. The
    KV cache moves ahead of the draft, so next to nothing is recomputed.
    Given a system of 2 gateways and 3 engines
    When the host of a draft's runner gets a notice of 3 seconds
    Then each draft comes whole
    And fewer than 64 tokens are recomputed

  Scenario: A reclaimed runner can't export its KV cache
    The draft moves by its prompt and the tokens so far; these are
    recomputed once, and nothing is generated twice but the last moments.
    Given a system of 2 gateways and 3 engines
    And runners that cut exports at 0 percent
    When the host of a draft's runner gets a notice of 3 seconds
    Then each draft comes whole
    And at least 440 tokens are recomputed
    And fewer than 40 tokens are generated twice

  Scenario: The export is cut half-way
    The runner dies while it exports. Half a KV cache is worth nothing and
    must not be taken for a whole one.
    Given a system of 2 gateways and 3 engines
    And runners that cut exports at 50 percent
    When the host of a draft's runner gets a notice of 3 seconds
    Then each draft comes whole
    And at least 440 tokens are recomputed

  Scenario: A runner is killed without notice
    Given a system of 2 gateways and 3 engines
    When a draft's runner gets SIGKILL
    Then each draft comes whole
    And at least 440 tokens are recomputed

  Scenario: A whole failure domain is lost at once, without notice
    Two of six runners are killed under six drafts. The drafts that ran
    there go on elsewhere, the others see nothing of it, and no draft is
    taken for the cause.
    Given a system of 2 gateways and 6 engines
    When all runners of a draft's failure domain get SIGKILL
    Then each draft comes whole
    And each draft can be asked for again

  Scenario: A runner freezes in mid-answer
    Its process accepts connections, as the kernel does that for it, but
    answers nothing any more.
    Given a system of 2 gateways and 3 engines
    When a draft's runner gets SIGSTOP
    Then each draft comes whole

  Scenario: Connections to a runner go silent while new ones work
    Something between gateway and runner forgot the open connections. The
    answer is read on over a new one, and nothing is computed again.
    Given a system of 2 gateways and 3 engines
    When a draft's runner gets the fault silence_now
    Then each draft comes whole
    And fewer than 1 tokens are recomputed

  Scenario: A request that crashes its runner is sent over all gateways
    Its caller sends it to one gateway after another. Two runners are lost,
    it is refused for good, and drafts beside it come whole.
    Given a system of 3 gateways and 5 engines
    And runners that crash on a marked request
    When the marked request is sent to each gateway twice under drafts
    Then each draft comes whole
    And the marked request was refused each time
    And at most 2 runners are lost
