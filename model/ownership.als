-- Ownership of a single engine that holds a single adapter: pins, and the eviction of the adapter.
--
-- The owner at a list version is the first member in a fixed order. Time is abstract: a pin or an
-- attestation is valid until it expires, and waiting for a duration means waiting until all that
-- were issued before have expired. The engine does not check fencing numbers.
module ownership

open util/ordering[Version] as versions
open util/ordering[Host] as hosts

abstract sig Granter { var pinned: set Host }  -- hosts that hold a valid pin from this granter

sig Host extends Granter {
  var list: lone Version,         -- the host list version that the process uses
  var acquired: lone Version,     -- the list version at which it became the owner
  var seen: set Host,             -- the hosts on all lists that the process has read
  var attested: Host -> Version,  -- valid attestations received by the process, by issuer
}

one sig FormerGranters extends Granter {}  -- former owners, whose pins the current owner does not know

sig Version { members: some Host }

var sig Starting in Host {}  -- hosts whose process started within the last attestation duration
var sig Settled in Host {}   -- owners that have waited for the attestations and orders of others to end
var sig Waited in Host {}    -- settled owners that have also waited for the pins of former owners to expire
var sig SeenIdle in Host {}  -- owners with a report, newer than all pins, that shows the adapter unused
var sig Ordered in Host {}   -- hosts whose eviction order is in transit to the engine
var sig Serving in Host {}   -- hosts with a request for the adapter that runs on the engine
var lone sig Resident in Adapter {}
one sig Adapter {}

-- Each variant omits at most one rule.
abstract sig Rule {}
one sig RequireAttestations, AwaitTakeoverDelay, AwaitPinExpiry, RequireReport, RejectOutdatedList extends Rule {}
one sig Variant { omitted: lone Rule }

pred omits[rule: Rule] { rule in Variant.omitted }

fun owner[version: Version]: lone Host { hosts/min[version.members] }

-- Assumption: any two lists have a member in common, so a host with an outdated list shares a
-- member with each later list.
fact lists_overlap { all disj one_list, other: Version | some one_list.members & other.members }

pred exclusive[host: Host] {
  some host.list
  host = owner[host.list]
  omits[RequireAttestations] or {
    -- An attestation at a later list version shows that the list of this host is outdated.
    all giver: host.list.members - host | some version: host.attested[giver] |
      version in host.acquired + host.acquired.nexts
        and (version in host.list + host.list.prevs or omits[RejectOutdatedList])
    all dropped: (host.seen - host.list.members) & hosts/prevs[host] | no dropped.attested[host]
  }
}

pred keep_lists { list' = list and acquired' = acquired and seen' = seen }
pred keep_attested { attested' = attested }
pred keep_starting { Starting' = Starting }
pred keep_pins { pinned' = pinned }
pred keep_engine { Ordered' = Ordered and Serving' = Serving and Resident' = Resident }

-- An owner loses its progress through the waits as soon as its right is no longer exclusive.
pred retain[settled, waited, idle_seen: set Host] {
  Settled' = { host: settled | after exclusive[host] }
  Waited' = waited & Settled'
  SeenIdle' = idle_seen & Waited'
}
pred retain_all { retain[Settled, Waited, SeenIdle] }

pred receive_list[host: Host, version: Version] {
  some host.list implies version in host.list.nexts
  list' = list ++ host -> version
  seen' = seen + host -> version.members
  (some host.list and owner[host.list] = host and owner[version] = host)
    implies acquired' = acquired else acquired' = acquired ++ host -> version
  keep_attested and keep_starting and keep_pins and keep_engine and retain_all
}

pred attest[giver, host: Host] {
  giver != host
  giver not in Starting
  host in giver.list.members
  giver in host.list.members
  attested' = attested - host -> giver -> Version + host -> giver -> giver.list
  keep_lists and keep_starting and keep_pins and keep_engine and retain_all
}

pred expire[giver, host: Host] {
  some host.attested[giver]
  attested' = attested - host -> giver -> Version
  keep_lists and keep_starting and keep_pins and keep_engine and retain_all
}

-- The takeover delay ensures that no other host holds a valid attestation that a member issued at a
-- list version before the acquisition, that no host holds one that a previous process of this host
-- issued, and that no order of another host is in transit.
pred settle[host: Host] {
  exclusive[host]
  host not in Settled
  omits[AwaitTakeoverDelay] or {
    no other: Host - host, giver: host.list.members | some other.attested[giver] & host.acquired.prevs
    host not in Starting
    no Ordered
  }
  pinned' = FormerGranters -> Granter.pinned
  keep_lists and keep_attested and keep_starting and keep_engine
  retain[Settled + host, Waited - host, SeenIdle - host]
}

pred await_pin_expiry[host: Host] {
  host in Settled
  omits[AwaitPinExpiry] or no FormerGranters.pinned
  keep_lists and keep_attested and keep_starting and keep_pins and keep_engine
  retain[Settled, Waited + host, SeenIdle]
}

pred grant_pin[host, holder: Host] {
  host in Settled
  exclusive[host]
  host not in Ordered
  some Resident
  pinned' = pinned + host -> holder
  keep_lists and keep_attested and keep_starting and keep_engine
  retain[Settled, Waited, SeenIdle - host]
}

pred end_pin[granter: Granter, holder: Host] {
  holder in granter.pinned
  pinned' = pinned - granter -> holder
  keep_lists and keep_attested and keep_starting and keep_engine and retain_all
}

pred start_request[holder: Host] {
  some pinned.holder
  some Resident
  Serving' = Serving + holder
  Ordered' = Ordered and Resident' = Resident
  keep_lists and keep_attested and keep_starting and keep_pins and retain_all
}

pred finish_request[holder: Host] {
  holder in Serving
  Serving' = Serving - holder
  Ordered' = Ordered and Resident' = Resident
  keep_lists and keep_attested and keep_starting and keep_pins and retain_all
}

pred read_report[host: Host] {
  host in Waited
  no host.pinned
  omits[RequireReport] or no Serving
  keep_lists and keep_attested and keep_starting and keep_pins and keep_engine
  retain[Settled, Waited, SeenIdle + host]
}

pred order_eviction[host: Host] {
  host in SeenIdle
  exclusive[host]
  Ordered' = Ordered + host
  Serving' = Serving and Resident' = Resident
  keep_lists and keep_attested and keep_starting and keep_pins and retain_all
}

pred evict[host: Host] {
  host in Ordered
  Ordered' = Ordered - host
  no Resident'
  Serving' = Serving
  keep_lists and keep_attested and keep_starting and keep_pins and retain_all
}

-- A process restarts or is replaced under the same host name; the pins and attestations that it
-- issued remain valid.
pred restart[host: Host] {
  list' = list - host -> Version
  acquired' = acquired - host -> Version
  seen' = seen - host -> Host
  attested' = attested - host -> Host -> Version
  Starting' = Starting + host
  pinned' = pinned - host -> Host - Granter -> host + FormerGranters -> (host.pinned - host)
  keep_engine and retain_all
}

pred finish_start[host: Host] {
  host in Starting
  no other: Host | some other.attested[host]
  Starting' = Starting - host
  keep_lists and keep_attested and keep_pins and keep_engine and retain_all
}

pred stutter {
  keep_lists and keep_attested and keep_starting and keep_pins and keep_engine and retain_all
}

fact behaviour {
  -- Initial state: a running cell in which all members use the first list and its owner has settled.
  list = (versions/first).members -> versions/first
  acquired = owner[versions/first] -> versions/first
  seen = (versions/first).members -> (versions/first).members
  attested = { host, giver: (versions/first).members, version: versions/first | host != giver }
  Settled = owner[versions/first] and Waited = Settled
  some Resident
  no Starting and no pinned and no SeenIdle and no Ordered and no Serving
  always (
    stutter
    or (some host: Host, version: Version | receive_list[host, version])
    or (some giver, host: Host | attest[giver, host] or expire[giver, host])
    or (some host: Host | settle[host] or await_pin_expiry[host] or read_report[host])
    or (some host, holder: Host | grant_pin[host, holder])
    or (some granter: Granter, holder: Host | end_pin[granter, holder])
    or (some host: Host | start_request[host] or finish_request[host])
    or (some host: Host | order_eviction[host] or evict[host] or restart[host] or finish_start[host])
  )
}

pred evicted_while_serving { some host: Host | evict[host] and some Serving }

assert serving_never_evicted { no Variant.omitted implies always not evicted_while_serving }

pred second_owner_evicts {
  no Variant.omitted
  eventually (some host: Host - owner[versions/first] | evict[host])
}
pred evicted_without[rule: Rule] {
  Variant.omitted = rule
  eventually evicted_while_serving
}

-- Commands: the safety property, the consistency of the model, and a counterexample for each variant.
serving_adapter_is_never_evicted: check serving_never_evicted for exactly 3 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..10 steps
serving_adapter_is_never_evicted_with_three_lists: check serving_never_evicted for exactly 3 Host, exactly 3 Version, 8 Granter, exactly 5 Rule, 1..8 steps
new_owner_evicts: run second_owner_evicts for exactly 2 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..10 steps
evicts_without_attestations: run { evicted_without[RequireAttestations] } for exactly 3 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..10 steps
evicts_without_takeover_delay: run { evicted_without[AwaitTakeoverDelay] } for exactly 3 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..12 steps
evicts_without_pin_expiry: run { evicted_without[AwaitPinExpiry] } for exactly 3 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..12 steps
evicts_without_report: run { evicted_without[RequireReport] } for exactly 3 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..8 steps
evicts_with_outdated_list: run { evicted_without[RejectOutdatedList] } for exactly 3 Host, exactly 3 Version, 8 Granter, exactly 5 Rule, 1..11 steps
serving_adapter_is_never_evicted_on_longer_traces: check serving_never_evicted for exactly 3 Host, exactly 3 Version, 8 Granter, exactly 5 Rule, 1..12 steps
