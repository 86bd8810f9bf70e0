Feature: An accepted configuration is applied and never reverts
  Operators submit manifests through any instance. Accepted manifests survive crashes, lost disks and partitions.

  Scenario: A leader is isolated for a long time without connection errors
    Given a control group of 3 replicas that have applied manifest 1
    When the leader is isolated for 60 seconds
    And manifest 2 is submitted during that time
    Then the isolated replica cannot confirm its leadership and still has manifest 1
    When the partition heals
    Then every replica has applied manifest 2 within 10 seconds

  Scenario: Two operators submit different manifests with the same version at the same time
    Given a control group of 3 replicas that have applied manifest 1
    When two operators submit different manifests 2 at the same time
    Then exactly one of them is accepted and the other is rejected with "conflicting-version"
    And every replica has applied manifest 2 within 10 seconds

  Scenario: An operator submits a manifest again after losing the response
    Given a control group of 3 replicas that have applied manifest 1
    When manifest 2 is submitted
    And manifest 2 is submitted again
    Then both submissions return the same index

  Scenario: An older manifest arrives after a newer one
    Given a control group of 3 replicas that have applied manifest 1
    When manifest 3 is submitted
    And manifest 2 is submitted late
    Then the late manifest is rejected with "stale-version"
    And every replica has applied manifest 3 within 10 seconds

  Scenario: A second replica loses its disk right after the first was replaced
    Given a control group of 3 replicas that have applied manifest 1
    When manifest 2 is submitted
    And a follower loses its disk and is replaced
    And another follower loses its disk
    Then every running replica that has a configuration has applied manifest 2 within 10 seconds

  Scenario: A replica restarts after missing hundreds of changes
    Given a control group of 3 replicas that have applied manifest 1
    When a follower stops
    And 400 manifests are submitted
    And the stopped follower starts again
    Then every replica has applied manifest 401 within 10 seconds

  Scenario: The leader is killed twice in a row
    Given a control group of 5 replicas that have applied manifest 1
    When the leader is killed
    And the leader is killed
    And manifest 2 is submitted
    Then every running replica has applied manifest 2 within 10 seconds
