Feature: Guarantees to callers during failures
  Each scenario runs real daemons and endpoints on loopback.

  Scenario: A session reads its own write through another daemon
    Given a running system whose replicas lag by 300 ms
    When a claim is filed through the first daemon
    Then the same session reads it at once through the second daemon

  Scenario: A replaced primary acknowledges no write
    Given a running system
    When the primary is cut off from its fellow members
    And a claim is filed with resends until it is done
    Then another member is the primary
    And only claim c1 is stored, once, at the primary
    And the old primary confirms no write

  Scenario: Transactions are isolated from each other
    Given a running system
    When two transactions file a claim each
    And the first one is rolled back and the second one is committed
    Then only claim c2 is stored, once, at the primary

  Scenario: Late and reordered answers reach no other caller
    Given a running system with claims of ten passengers
    When answers come late, twice and out of order
    Then every caller reads its own claim or gets an error

  Scenario: A request refused as not run did not run
    Given a running system whose statements take 60 ms
    When thirty claims are filed at once with a deadline of 250 ms
    Then some are refused as not run
    And no refused claim is stored

  Scenario: A payout runs at most once
    Given a running system
    When the answers to a payout are lost
    And the payout is sent again to both daemons at once
    Then the payout is stored at most once

  Scenario: A leaving endpoint receives no new work
    Given a running system
    When a replica announces that it is leaving
    Then it serves no read that was sent 2 s later

  Scenario: A graceful shutdown cuts off no request
    Given a running system whose statements take 200 ms
    When a daemon is asked to stop while it serves ten requests
    Then all ten requests are answered as done
    And the daemon ends with exit status 0

  Scenario: An accepted configuration survives the restart of every daemon
    Given a running system with a data folder
    When two operators submit competing changes to twenty successive versions
    And every daemon is killed and started again
    Then one change to each version is accepted
    And every daemon has the last version in effect

  Scenario: Unresponsive connections are replaced without a failover
    Given a running system
    When every open connection of every member becomes unresponsive
    Then claims are filed again within 3 s
    And the primary is still the same
