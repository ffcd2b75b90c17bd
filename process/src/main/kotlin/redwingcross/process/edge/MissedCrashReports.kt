package redwingcross.process.edge

import redwingcross.process.crash.CrashEvidence
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells single processes what they have missed of crashes. The active controller repeats what it knows to all, but it
 * may itself be the process that has missed something.
 */
internal class MissedCrashReports(
    private val self: GatewayRecord,
    private val evidence: () -> CrashEvidence,
    private val send: (GatewayRecord, ByteArray) -> Unit,
) {
    /** Tells [receiver] what this process knows, if there is anything. */
    fun tell(receiver: GatewayRecord) {
        val known = evidence()
        if (!known.isEmpty) send(receiver, PeerCodec.encode(CrashReports(self, known)))
    }

    /** Tells [sender], which is heard at [now], if it was not heard for a while; [known] is its state before that. */
    fun tellIfSilent(sender: GatewayRecord, known: Peer?, now: Duration) {
        if (known == null || now - known.lastSeenAt > LONGEST_REPEATS) tell(sender)
    }

    private companion object {
        /** Evidence is repeated for less than this after a change, and digests come more often. */
        val LONGEST_REPEATS = 2.seconds
    }
}
