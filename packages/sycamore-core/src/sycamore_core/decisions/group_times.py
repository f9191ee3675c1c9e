"""Timing constants of the reservation of a group."""

#: Duration of a lease that is not renewed, in seconds. The memory reserved by
#: a failed leader is free after this time. A leader that is suspended for ten
#: seconds loses only its group.
LEASE_SECONDS = 10.0
#: Interval of renewals, in seconds. A lease is lost only after three renewals
#: are lost.
RENEW_INTERVAL_SECONDS = 3.0
#: Interval at which an unanswered request is sent again, in seconds. It is well
#: above the round trip of 3 ms between zones, so few requests are sent twice,
#: and well below the timeout of the reservation.
RESEND_INTERVAL_SECONDS = 0.5
#: Time after which the leader abandons the reservation if a member is silent or
#: stays full, in seconds. Until then, the memory reserved at the other members
#: is not available to short requests.
RESERVATION_TIMEOUT_SECONDS = 8.0
#: Number of releases sent to each member. If one message in ten is lost, all
#: three are lost once in a thousand, and then the lease expires.
RELEASE_SENDS = 3
