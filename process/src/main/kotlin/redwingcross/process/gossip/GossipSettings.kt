package redwingcross.process.gossip

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Intervals, lifetimes and limits of gossip. */
class GossipSettings(
    /** Interval between rounds; each round sends a digest to one random member. */
    val roundInterval: Duration = 500.milliseconds,
    /** Interval between rounds while there is no stamp younger than [staleStampAge]. */
    val fastRoundInterval: Duration = 250.milliseconds,
    /** Without a stamp younger than this, the process requests proofs of reachability, in faster rounds. */
    val staleStampAge: Duration = 3.seconds,
    /** Maximum encoded size of one message in bytes: 1,200 minus the frame around it. */
    val messageBytes: Int = 1_000,
    /** Maximum encoded size of the member changes in one message, in bytes. */
    val changeBytes: Int = 400,
    /** Maximum encoded size of the cold reports in one message, in bytes. */
    val coldBytes: Int = 200,
    /**
     * Zone statuses older than this are not adopted or sent; gateways stop using them after 8 s. They are kept for
     * twice this time, because another process may send the same status with a smaller age.
     */
    val zoneLifetime: Duration = 30.seconds,
    /** Time for which cold reports are kept and sent. */
    val coldLifetime: Duration = 1.minutes,
    /**
     * A new process publishes no status until a peer has answered or this time has passed, because until then it
     * doesn't have the last sequence that a predecessor with its name published.
     */
    val startupDelay: Duration = 3.seconds,
    /** Number of zone statuses that are kept; further ones are ignored. */
    val maximumZones: Int = 64,
    /** Number of cold reports that are kept; further ones are ignored. */
    val maximumCold: Int = 512,
    /** Time after which a request for content may be retried. */
    val fetchTimeout: Duration = 1.seconds,
    /** Each cold report is sent this factor times log2(members) times. */
    val retransmitFactor: Int = 3,
    /** Encoded sizes of the parts of a message. */
    val sizes: GossipSizes,
)

/** Functions of the codec that return encoded sizes in bytes, so that [Gossip] does not depend on the encoding. */
class GossipSizes(val heartbeat: (ZoneHeartbeat) -> Int, val zone: (ZoneUpdate) -> Int, val cold: (ColdUpdate) -> Int)
