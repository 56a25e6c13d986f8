-- Ownership of one engine that holds one adapter: pins, and the eviction of the adapter.
--
-- The owner at a list version is the first member in a fixed order. Time is abstract: what has not
-- expired may still be relied on, and waiting for a duration means waiting until what was given
-- before has expired. The engine does not check fencing numbers.
module ownership

open util/ordering[Version] as versions
open util/ordering[Host] as hosts

abstract sig Granter { var pinned: set Host }  -- hosts that hold a valid pin of this granter

sig Host extends Granter {
  var list: lone Version,         -- the list version that the process acts on
  var acquired: lone Version,     -- the list version at which it became the owner
  var seen: set Host,             -- the hosts on the lists that the process has read
  var attested: Host -> Version,  -- attestations that the process may still rely on, by their givers
}

one sig Former extends Granter {}  -- stands for granters whose pins the present owner does not know

sig Version { members: some Host }

var sig Starting in Host {}  -- hosts whose process started less than the attestation duration ago
var sig Settled in Host {}   -- owners that have waited for attestations and orders of others to end
var sig Waited in Host {}    -- owners that have also waited for the pins of others to end
var sig SeenIdle in Host {}  -- owners with a report, later than all pins, that nothing runs
var sig Ordered in Host {}   -- hosts whose order to evict is on its way
var sig Serving in Host {}   -- hosts whose request for the adapter runs on the engine
var lone sig Resident in Adapter {}
one sig Adapter {}

-- Variants with one rule left out.
abstract sig Rule {}
one sig AskAttestations, WaitToSettle, WaitForPins, ReadReport, StopWhenBehind extends Rule {}
one sig Variant { omitted: lone Rule }

pred omits[rule: Rule] { rule in Variant.omitted }

fun owner[version: Version]: lone Host { hosts/min[version.members] }

-- Assumption: a host that acts on an old list shares a member with the later ones.
fact lists_overlap { all disj one_list, other: Version | some one_list.members & other.members }

pred exclusive[host: Host] {
  some host.list
  host = owner[host.list]
  omits[AskAttestations] or {
    -- An attestation at a later list shows that this host acts on an old one.
    all giver: host.list.members - host | some version: host.attested[giver] |
      version in host.acquired + host.acquired.nexts
        and (version in host.list + host.list.prevs or omits[StopWhenBehind])
    all dropped: (host.seen - host.list.members) & hosts/prevs[host] | no dropped.attested[host]
  }
}

pred keep_lists { list' = list and acquired' = acquired and seen' = seen }
pred keep_attested { attested' = attested }
pred keep_starting { Starting' = Starting }
pred keep_pins { pinned' = pinned }
pred keep_engine { Ordered' = Ordered and Serving' = Serving and Resident' = Resident }

-- What an owner has waited for is lost as soon as its right is not exclusive.
pred retain[settled, waited, idle_seen: set Host] {
  Settled' = { host: settled | after exclusive[host] }
  Waited' = waited & Settled'
  SeenIdle' = idle_seen & Waited'
}
pred retain_all { retain[Settled, Waited, SeenIdle] }

pred hear[host: Host, version: Version] {
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

-- The wait makes sure that nobody relies on attestations of this owner's members to an earlier
-- list, or on those of a former run of this process, and that no order of another is on its way.
pred settle[host: Host] {
  exclusive[host]
  host not in Settled
  omits[WaitToSettle] or {
    no other: Host - host, giver: host.list.members | some other.attested[giver] & host.acquired.prevs
    host not in Starting
    no Ordered
  }
  pinned' = Former -> Granter.pinned
  keep_lists and keep_attested and keep_starting and keep_engine
  retain[Settled + host, Waited - host, SeenIdle - host]
}

pred wait_for_pins[host: Host] {
  host in Settled
  omits[WaitForPins] or no Former.pinned
  keep_lists and keep_attested and keep_starting and keep_pins and keep_engine
  retain[Settled, Waited + host, SeenIdle]
}

pred grant[host, holder: Host] {
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

pred report[host: Host] {
  host in Waited
  no host.pinned
  omits[ReadReport] or no Serving
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

-- A process restarts or is replaced under its name; what it gave to others stays valid.
pred restart[host: Host] {
  list' = list - host -> Version
  acquired' = acquired - host -> Version
  seen' = seen - host -> Host
  attested' = attested - host -> Host -> Version
  Starting' = Starting + host
  pinned' = pinned - host -> Host - Granter -> host + Former -> (host.pinned - host)
  keep_engine and retain_all
}

pred finish_start[host: Host] {
  host in Starting
  no other: Host | some other.attested[host]
  Starting' = Starting - host
  keep_lists and keep_attested and keep_pins and keep_engine and retain_all
}

pred idle {
  keep_lists and keep_attested and keep_starting and keep_pins and keep_engine and retain_all
}

fact behaviour {
  -- A cell at work: all act on the first list, and its owner has settled.
  list = (versions/first).members -> versions/first
  acquired = owner[versions/first] -> versions/first
  seen = (versions/first).members -> (versions/first).members
  attested = { host, giver: (versions/first).members, version: versions/first | host != giver }
  Settled = owner[versions/first] and Waited = Settled
  some Resident
  no Starting and no pinned and no SeenIdle and no Ordered and no Serving
  always (
    idle
    or (some host: Host, version: Version | hear[host, version])
    or (some giver, host: Host | attest[giver, host] or expire[giver, host])
    or (some host: Host | settle[host] or wait_for_pins[host] or report[host])
    or (some host, holder: Host | grant[host, holder])
    or (some granter: Granter, holder: Host | end_pin[granter, holder])
    or (some host: Host | start_request[host] or finish_request[host])
    or (some host: Host | order_eviction[host] or evict[host] or restart[host] or finish_start[host])
  )
}

pred evicted_while_serving { some host: Host | evict[host] and some Serving }

assert never { no Variant.omitted implies always not evicted_while_serving }

pred second_owner_evicts {
  no Variant.omitted
  eventually (some host: Host - owner[versions/first] | evict[host])
}
pred evicted_without[rule: Rule] {
  Variant.omitted = rule
  eventually evicted_while_serving
}

-- Commands: the promise, that the model is not empty, and each variant with its counterexample.
serving_is_never_evicted: check never for exactly 3 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..10 steps
serving_is_never_evicted_over_three_lists: check never for exactly 3 Host, exactly 3 Version, 8 Granter, exactly 5 Rule, 1..8 steps
new_owner_evicts: run second_owner_evicts for exactly 2 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..10 steps
evicts_without_attestations: run { evicted_without[AskAttestations] } for exactly 3 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..10 steps
evicts_without_settling: run { evicted_without[WaitToSettle] } for exactly 3 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..12 steps
evicts_without_pin_wait: run { evicted_without[WaitForPins] } for exactly 3 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..12 steps
evicts_without_report: run { evicted_without[ReadReport] } for exactly 3 Host, exactly 2 Version, 8 Granter, exactly 5 Rule, 1..8 steps
evicts_when_behind: run { evicted_without[StopWhenBehind] } for exactly 3 Host, exactly 3 Version, 8 Granter, exactly 5 Rule, 1..11 steps
serving_is_never_evicted_deeper: check never for exactly 3 Host, exactly 3 Version, 8 Granter, exactly 5 Rule, 1..12 steps
