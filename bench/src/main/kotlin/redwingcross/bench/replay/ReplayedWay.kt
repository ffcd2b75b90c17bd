package redwingcross.bench.replay

import redwingcross.version.forwarding.GroupCandidate
import redwingcross.version.forwarding.GroupPlacement
import kotlin.math.ceil

/** Receives the group for a request, -1 if there is none yet; false if the request no longer needs it. */
internal typealias Placed = (group: Int) -> Boolean

/** A way to place requests in a replay. */
internal class ReplayedWay(
    /** Places a request of a gateway at another group than the excluded one. */
    val place: (gateway: Int, excluded: Int, placed: Placed) -> Unit,
    /** Called when a request of a gateway is no longer at a group. */
    val ended: (gateway: Int, group: Int) -> Unit = { _, _ -> },
    /** Called when gateways know that groups are lost. */
    val lost: () -> Unit = {},
    /** Whether waiting requests are placed again when one of their gateway ends; otherwise the way remembers them. */
    val retries: Boolean = true,
) {
    companion object {
        /** A way in which each gateway decides at once from what it knows. */
        fun of(replay: PlacementReplay, choose: Choose) = ReplayedWay({ gateway, excluded, placed ->
            val known = replay.known(gateway)
            if (excluded >= 0) known[excluded] = PlacementReplay.UNUSABLE
            placed(choose(known, replay.random))
        })

        fun placement(load: ReplayedLoad): Choose = { known, random ->
            val candidates = known.indices.filter {
                known[it] < load.slots * load.groupLimit
            }.map { GroupCandidate(it, known[it], 1.0) }
            GroupPlacement.choose(candidates, load.slots, load.gateways, random)?.group ?: -1
        }

        /** Counts corrected by what other gateways are expected to have sent and groups to have finished since. */
        fun corrected(replay: PlacementReplay, serviceError: Double = 1.0, isOracle: Boolean = false): ReplayedWay {
            val load = replay.load
            val choose = placement(load)
            val service = load.meanService * serviceError
            var lastReport = -1.0
            var lastTotal = 0
            var estimate = 0.0
            return ReplayedWay({ gateway, excluded, placed ->
                val known = replay.known(gateway)
                val own = replay.own(gateway)
                val usable = known.indices.filter { known[it] < PlacementReplay.UNUSABLE && it != excluded }
                val others = DoubleArray(known.size) { (known[it] - own[it]).toDouble() }
                if (replay.reportedAt != lastReport) {
                    val total = replay.reportedInFlight()
                    val growth = if (lastReport < 0) 0.0 else (total - lastTotal) / (replay.reportedAt - lastReport)
                    estimate += 0.5 * (maxOf(0.0, growth + total / service) - estimate)
                    lastReport = replay.reportedAt
                    lastTotal = total
                }
                val rate = (if (isOracle) load.rate(replay.now) else estimate) * (1 - 1.0 / load.gateways)
                var left = replay.now - replay.reportedAt
                while (left > 0) {
                    val step = minOf(left, 0.05)
                    left -= step
                    val free = usable.associateWith { maxOf(0.1, load.slots - others[it] - own[it]) }
                    val sum = free.values.sum()
                    for (group in usable) {
                        val change = rate * free.getValue(group) / sum - others[group] / service
                        others[group] += change * step
                    }
                }
                val estimate = IntArray(known.size) {
                    if (it in usable) own[it] + Math.round(others[it]).toInt() else PlacementReplay.UNUSABLE
                }
                placed(choose(estimate, replay.random))
            })
        }

        /** Each gateway uses [size] groups only. */
        fun subsets(replay: PlacementReplay, size: Int): ReplayedWay {
            val load = replay.load
            val choose = placement(load)
            val subsets = List(load.gateways) { gateway ->
                List(size.coerceAtMost(load.groups)) { (gateway * size + it) % load.groups }.toSet()
            }
            return ReplayedWay({ gateway, excluded, placed ->
                val known = replay.known(gateway)
                for (group in known.indices) {
                    if (group !in subsets[gateway] || group == excluded) known[group] = PlacementReplay.UNUSABLE
                }
                placed(choose(known, replay.random))
            })
        }

        /** Free slots announced to random gateways as they come free (join-idle-queue). */
        fun idleSlots(replay: PlacementReplay): ReplayedWay {
            val load = replay.load
            val tokens = List(load.gateways) { ArrayDeque<Int>() }
            val used = List(load.gateways) { IntArray(load.groups) }
            for (group in 0 until load.groups) {
                repeat(load.slots) { tokens[replay.random.nextInt(load.gateways)].addLast(group) }
            }
            val choose = placement(load)
            return ReplayedWay(
                place = { gateway, excluded, placed ->
                    val token = tokens[gateway].firstOrNull { it != excluded && it !in replay.knownLost }
                    if (token != null) {
                        tokens[gateway].remove(token)
                        used[gateway][token]++
                        placed(token)
                    } else {
                        placed(choose(replay.known(gateway), replay.random))
                    }
                },
                ended = { gateway, group ->
                    if (used[gateway][group] > 0) {
                        used[gateway][group]--
                        val receiver = replay.random.nextInt(load.gateways)
                        replay.message(gateway, receiver) { tokens[receiver].addLast(group) }
                    }
                },
                lost = { tokens.forEach { queue -> queue.removeAll { it in replay.knownLost } } },
            )
        }

        /** One owner grants all free slots in advance to the gateways, each [period]; grants expire with the next. */
        fun advanceGrants(replay: PlacementReplay, period: Double): ReplayedWay {
            val load = replay.load
            val tokens = List(load.gateways) { ArrayDeque<Int>() }
            val choose = placement(load)
            fun grant() {
                replay.at(replay.now + period, ::grant)
                val counts = IntArray(load.groups)
                for (gateway in 0 until load.gateways) {
                    replay.message(gateway, 0) {}
                    replay.own(gateway).forEachIndexed { group, count -> counts[group] += count }
                }
                val free = counts.indices.filter { it !in replay.knownLost }
                    .flatMap { group -> List(maxOf(0, load.slots - counts[group])) { group } }
                    .shuffled(replay.random)
                val first = replay.random.nextInt(load.gateways)
                val batches = free.withIndex().groupBy({ (it.index + first) % load.gateways }, { it.value })
                for (gateway in 0 until load.gateways) {
                    replay.message(0, gateway) {
                        tokens[gateway].clear()
                        tokens[gateway].addAll(batches[gateway].orEmpty())
                    }
                }
            }
            replay.at(0.0, ::grant)
            return ReplayedWay({ gateway, excluded, placed ->
                val token = tokens[gateway].firstOrNull { it != excluded && it !in replay.knownLost }
                if (token != null) {
                    tokens[gateway].remove(token)
                    placed(token)
                } else {
                    placed(choose(replay.known(gateway), replay.random))
                }
            })
        }

        /** Each request asks the owner of a part of the groups, which chooses among those that it owns. */
        fun owners(replay: PlacementReplay, requestsPerOwner: Double): ReplayedWay {
            val load = replay.load
            val owners = ceil(load.rate(0.0) / requestsPerOwner).toInt().coerceIn(1, load.groups)
            val counts = IntArray(load.groups)
            val queues = List(owners) { ArrayDeque<Pair<Int, Placed>>() }
            val choose = placement(load)
            fun best(owner: Int, excluded: Int): Int? = (owner until load.groups step owners)
                .filter { it != excluded && it !in replay.knownLost && counts[it] < load.slots }
                .minByOrNull { counts[it] + replay.random.nextDouble() }
            fun release(owner: Int, group: Int) {
                counts[group]--
                while (queues[owner].isNotEmpty()) {
                    val next = best(owner, -1) ?: return
                    val (gateway, placed) = queues[owner].removeFirst()
                    counts[next]++
                    replay.message(owner, gateway) {
                        if (!placed(next)) replay.message(gateway, owner) { release(owner, next) }
                    }
                }
            }
            return ReplayedWay(
                place = { gateway, excluded, placed ->
                    val known = replay.known(gateway)
                    val guess = choose(known, replay.random)
                    val owner = if (guess >= 0) guess % owners else replay.random.nextInt(owners)
                    replay.message(gateway, owner) {
                        val group = best(owner, excluded)
                        if (group != null) counts[group]++ else queues[owner].addLast(gateway to placed)
                        replay.message(owner, gateway) {
                            if (!placed(group ?: -1) && group != null) {
                                replay.message(gateway, owner) { release(owner, group) }
                            }
                        }
                    }
                },
                ended = { gateway, group ->
                    replay.message(gateway, group % owners) { release(group % owners, group) }
                },
                lost = { replay.knownLost.forEach { counts[it] = 0 } },
                retries = false,
            )
        }
    }
}
