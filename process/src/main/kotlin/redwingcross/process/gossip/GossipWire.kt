@file:OptIn(ExperimentalSerializationApi::class)

package redwingcross.process.gossip

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

// Messages are CBOR arrays, because field names would take more than half of a message of 1,200 bytes. The order of the
// properties is the wire format. Ages are in milliseconds.

@Serializable
@CborArray
internal class WireMember(
    val name: String,
    val role: Int,
    val zone: String,
    val peer: String,
    val caller: String?,
    val start: Long,
    val startedAgo: Long,
    val incarnation: Long,
    val availability: Int,
    val condition: Int,
)

@Serializable
@CborArray
internal class WirePing(val sender: WireMember, val changes: List<WireMember>)

@Serializable
@CborArray
internal class WireStamp(val bundle: Long, val overrides: Long, val age: Long, val leaving: Long)

@Serializable
@CborArray
internal class WireHeartbeat(
    val zone: String,
    val observer: String,
    val sequence: Long,
    val contentSequence: Long,
    val holder: Long?,
)

@Serializable
@CborArray
internal class WireGroup(
    val group: String,
    val generation: Long,
    val model: String,
    val leader: String,
    val leaderEndpoint: String,
    val members: List<String>,
    val readiness: Int,
    val incarnation: String,
    val readyFor: Long,
    val reason: String,
)

@Serializable
@CborArray
internal class WireZone(val heartbeat: WireHeartbeat, val age: Long, val groups: List<WireGroup>?)

@Serializable
@CborArray
internal class WireCold(
    val server: String,
    val incarnation: String,
    val reporter: String,
    val number: Long,
    val age: Long,
)

@Serializable
@CborArray
internal class WireDigest(
    val bundle: Long,
    val overrides: Long,
    val leaving: Long,
    val stamp: WireStamp?,
    val zones: List<WireHeartbeat>,
    val changes: List<WireMember>,
    val cold: List<WireCold>,
    val wantsReachability: Boolean,
)

@Serializable
@CborArray
internal class WireAnswer(
    val bundle: Long,
    val overrides: Long,
    val leaving: Long,
    val stamp: WireStamp?,
    val zones: List<WireZone>,
    val changes: List<WireMember>,
    val cold: List<WireCold>,
    val gatewaySetDigest: Int?,
    val ages: ByteArray?,
)

@Serializable
@CborArray
internal class WireKey(val zone: String, val observer: String)

@Serializable
@CborArray
internal class WireKeys(val keys: List<WireKey>)

@Serializable
@CborArray
internal class WireZones(val zones: List<WireZone>)

@Serializable
@CborArray
internal class WireSync(val sender: WireMember, val parts: List<Int>)

@Serializable
@CborArray
internal class WireTable(val parts: List<Int>, val changes: List<WireMember>)
