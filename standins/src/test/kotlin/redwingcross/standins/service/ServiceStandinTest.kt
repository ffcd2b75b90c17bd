package redwingcross.standins.service

import kotlinx.serialization.json.Json
import redwingcross.standins.fetch
import redwingcross.standins.post
import redwingcross.standins.putFaults
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Guards against a stand-in that hides duplicate runs or does not count a run whose response is lost. */
class ServiceStandinTest {
    @Test
    fun `every run is counted by its key even if its response is lost`() {
        val service = ServiceStandin().start()
        try {
            post(service.port, "/bookings?day=1", "k1", "{}")
            post(service.port, "/bookings?day=1", "k1", "{}")
            putFaults(service.port, """{"loseAnswerNext":1}""")
            assertFailsWith<IOException> { post(service.port, "/bookings", "k2", "{}") }
            putFaults(service.port, """{"cutNext":1}""")
            assertFailsWith<IOException> { post(service.port, "/bookings", "k3", "{}") }

            val runs = Json.decodeFromString<ServiceRuns>(fetch(service.port, "/standin/runs"))

            assertEquals(ServiceRuns(total = 3, byKey = mapOf("k1" to 2, "k2" to 1)), runs)
        } finally {
            service.stop()
        }
    }
}
