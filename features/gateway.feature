Feature: Gateways come and go without harm to what they accepted
  Gateway hosts are cheap: they are reclaimed, killed and frozen at any time.

  Scenario: A gateway is killed without notice under a draft
    A teacher's long draft stops in mid-sentence as the process that relays
    it dies. Her client goes on at another entry behind the last event.
    Given a system of 3 gateways and 2 engines
    When the gateway of a draft gets SIGKILL behind token 20
    Then the draft is whole

  Scenario: A gateway is frozen under a draft and thaws later
    The connection stays open and silent. The client takes a stream without
    comments for dead and resumes elsewhere; the thawed gateway's late
    bytes reach nobody.
    Given a system of 3 gateways and 2 engines
    When the gateway of a draft gets SIGSTOP behind token 20
    Then the draft is whole

  Scenario: A gateway's host is reclaimed under a draft
    The cloud gives a few seconds of notice. The gateway hands the request
    over and tells the caller where to go on.
    Given a system of 3 gateways and 2 engines
    When the host of the gateway of a draft gets a notice of 4 seconds
    Then the draft is whole
    And the draft was moved, not cut

  Scenario: An operator stops a gateway under a draft and a booking
    Both were accepted, so both end as if nothing had happened, and the
    process ends by itself.
    Given a system of 3 gateways and 2 engines
    When gateway-1 gets SIGTERM under a draft and a booking
    Then both are answered whole by gateway-1
    And the booking ran once
    And gateway-1 ended with status 0

  Scenario: A frozen gateway does not serve by the declaration it knew
    A workspace is removed while a gateway is frozen. The first request
    after the thaw must not be served by what the gateway knew before.
    Given a system of 3 gateways and 2 engines
    When the market's key is withdrawn while gateway-3 is frozen
    Then gateway-3 never serves the market again

  Scenario: The platform's store is down for long
    Drafts and checks need no store. Bookings can't be claimed, so they are
    refused at once as not run, and work again when the store is back.
    Given a system of 3 gateways and 2 engines
    When the store goes down
    Then a draft and a check are answered
    And a booking is refused at once as not run
    When the store is back
    Then a booking is taken

  Scenario: A gateway restarts while the store is down
    It has no memory of its own. Peers give it the declaration in force.
    Given a system of 3 gateways and 2 engines
    When the store goes down
    And gateway-2 is killed and started again
    Then gateway-2 serves the newest declaration
