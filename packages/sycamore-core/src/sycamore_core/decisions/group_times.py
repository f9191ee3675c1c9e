"""Times of a group's reservation, in seconds."""

#: Life of a lease that is not renewed: the memory that a dead leader holds is
#: free again after it. A pause of ten seconds still loses the group only.
LEASE_SECONDS = 10.0
#: Interval of renewals: three are lost before a lease is.
RENEW_SECONDS = 3.0
#: Interval of requests that were not answered: well above the round trip of
#: 3 ms between zones, so that few are sent twice, well below the patience.
RESEND_SECONDS = 0.5
#: Time after which the leader gives up if a member is silent or stays full.
#: Meanwhile it keeps the memory of the other members from short turns.
PATIENCE_SECONDS = 8.0
#: Releases sent to each member. If a message in ten is lost, all three are
#: once in a thousand, and then the lease expires.
RELEASE_SENDS = 3
