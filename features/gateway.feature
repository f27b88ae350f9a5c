Feature: Requests survive the loss of the gateway that accepted them
  Gateways run on cheap hosts that may be reclaimed, killed or frozen at any
  time.

  Scenario: A gateway is killed without notice during a draft
    A long draft stops in mid-sentence because the process that relays it
    dies. The client resumes at another entry after the last event received.
    Given a system of 3 gateways and 2 engines
    When the gateway of a draft gets SIGKILL after token 20
    Then the draft is complete

  Scenario: A gateway is frozen during a draft and resumes later
    The connection stays open and silent. A stream without keep-alive comments
    counts as dead, so the client resumes elsewhere; nobody reads the late
    bytes of the gateway that was frozen.
    Given a system of 3 gateways and 2 engines
    When the gateway of a draft gets SIGSTOP after token 20
    Then the draft is complete

  Scenario: A gateway's host is reclaimed during a draft
    The cloud gives a few seconds of notice. The gateway hands the request
    over and sends the caller the address at which to resume.
    Given a system of 3 gateways and 2 engines
    When the host of the gateway of a draft gets a notice of 4 seconds
    Then the draft is complete
    And the draft was moved, not interrupted

  Scenario: An operator stops a gateway during a draft and a booking
    Both were accepted, so both complete normally, and then the process exits
    by itself.
    Given a system of 3 gateways and 2 engines
    When gateway-1 gets SIGTERM during a draft and a booking
    Then both get complete answers from gateway-1
    And the booking ran once
    And gateway-1 ended with status 0

  Scenario: A frozen gateway does not serve from its stale declaration
    A workspace is removed while a gateway is frozen. The first request after
    it resumes must not be served from the old declaration.
    Given a system of 3 gateways and 2 engines
    When the market's key is revoked while gateway-3 is frozen
    Then gateway-3 never serves the market again

  Scenario: The platform's store is down for a long time
    Drafts and checks do not need the store. Bookings cannot be claimed, so
    they are refused at once as not run, and work again when the store is back.
    Given a system of 3 gateways and 2 engines
    When the store goes down
    Then a draft and a check are answered
    And a booking is refused at once as not run
    When the store is back
    Then a booking succeeds

  Scenario: A gateway restarts while the store is down
    It keeps no state on disk. Its peers send it the declaration in force.
    Given a system of 3 gateways and 2 engines
    When the store goes down
    And gateway-2 is killed and started again
    Then gateway-2 serves the newest declaration
