package redwingcross.process.gossip

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Times and bounds of gossip. */
class GossipSettings(
    /** One random member is sent a digest in each round. */
    val round: Duration = 500.milliseconds,
    /** Round while no stamp younger than [scarceStamp] is held. */
    val fastRound: Duration = 250.milliseconds,
    /** Without a stamp younger than this the process asks for proofs of reachability, in faster rounds. */
    val scarceStamp: Duration = 3.seconds,
    /** Encoded bytes of one message, 1,200 less the frame around it. */
    val messageBytes: Int = 1_000,
    /** Encoded bytes of member changes in one message. */
    val changeBytes: Int = 400,
    /** Encoded bytes of cold reports in one message. */
    val coldBytes: Int = 200,
    /**
     * Statuses older than this are not adopted or passed on; gateways stop using them after 8 s. They are remembered
     * for twice this time, because another process may hold the same status with a smaller age.
     */
    val zoneLifetime: Duration = 30.seconds,
    /** Cold reports are passed on and remembered for this long. */
    val coldLifetime: Duration = 1.minutes,
    /**
     * A new process publishes no status until a peer has answered or this time has passed. Before, it doesn't know up
     * to which sequence a process before it under its name has published.
     */
    val silentStart: Duration = 3.seconds,
    val maximumZones: Int = 64,
    val maximumCold: Int = 512,
    /** A request for content that was not answered in this time may be made again. */
    val fetchTimeout: Duration = 1.seconds,
    /** A cold report is sent this many times log2(members). */
    val retransmitFactor: Int = 3,
    /** Encoded sizes. */
    val sizes: GossipSizes,
)

/** Encoded sizes in bytes, given by the codec, so that the decision stays free of the encoding. */
class GossipSizes(val heartbeat: (ZoneHeartbeat) -> Int, val zone: (ZoneUpdate) -> Int, val cold: (ColdUpdate) -> Int)
