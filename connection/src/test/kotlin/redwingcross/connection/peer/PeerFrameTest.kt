package redwingcross.connection.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import redwingcross.request.AttemptId
import redwingcross.request.ProcessName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Guards against frames that lose their type or fields when they are encoded and decoded. */
@OptIn(ExperimentalSerializationApi::class)
class PeerFrameTest {
    @Test
    fun `a frame encoded as CBOR is decoded with the same type and fields`() {
        val sent: PeerFrame =
            PeerFrame.AbandonAttempt(ProcessName("gateway-1"), CorrelationId(7), AttemptId("attempt-1"))

        val received = Cbor.decodeFromByteArray<PeerFrame>(Cbor.encodeToByteArray(sent))

        assertIs<PeerFrame.AbandonAttempt>(received)
        assertEquals(AttemptId("attempt-1"), received.attempt)
        assertEquals(CorrelationId(7), received.correlation)
    }
}
