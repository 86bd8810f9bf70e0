Feature: An accepted configuration is in force and never reverts
  Operators release manifests through any instance. What was accepted survives kills, lost disks and cuts.

  Scenario: A control instance is silently isolated for a long time
    Given a control group of 3 replicas with manifest 1 in force
    When the leader is cut off for 60 seconds
    And manifest 2 is released during that time
    Then the isolated replica confirms no reads
    When the cut heals
    Then every replica has manifest 2 in force within 10 seconds

  Scenario: Operators race each other with equal version numbers
    Given a control group of 3 replicas with manifest 1 in force
    When two operators release different manifests 2 at the same time
    Then exactly one of them is accepted and the other is told "conflicting-version"
    And every replica has manifest 2 in force within 10 seconds

  Scenario: An operator sends again after losing the answer
    Given a control group of 3 replicas with manifest 1 in force
    When manifest 2 is released
    And manifest 2 is released again
    Then both releases give the same index

  Scenario: An old release arrives late
    Given a control group of 3 replicas with manifest 1 in force
    When manifest 3 is released
    And manifest 2 is released late
    Then the late release is told "stale-version"
    And every replica has manifest 3 in force within 10 seconds

  Scenario: A second replica is lost right after a repair
    Given a control group of 3 replicas with manifest 1 in force
    When manifest 2 is released
    And a follower loses its disk and is replaced
    And another follower loses its disk
    Then every running replica that knows a configuration has manifest 2 in force within 10 seconds

  Scenario: A replica restarts after hundreds of changes have passed it by
    Given a control group of 3 replicas with manifest 1 in force
    When a follower stops
    And 400 manifests are released
    And the stopped follower starts again
    Then every replica has manifest 401 in force within 10 seconds

  Scenario: The leader is killed twice in a row
    Given a control group of 5 replicas with manifest 1 in force
    When the leader is killed
    And the leader is killed
    And manifest 2 is released
    Then every running replica has manifest 2 in force within 10 seconds
