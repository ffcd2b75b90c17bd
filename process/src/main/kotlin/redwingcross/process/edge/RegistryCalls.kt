package redwingcross.process.edge

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Registers this process in the platform's registry and decides when the registry is read again. */
internal class RegistryCalls(
    private val self: GatewayRecord,
    /** Writes the registry entry of this process. */
    private val register: () -> Unit,
    /** Reads the registry; the argument is true if the list may be some seconds old. */
    private val list: (Boolean) -> Unit,
    private val random: Random,
) {
    private var isRegistered = false
    private var nextCall = Duration.ZERO
    private var lastCall = -Duration.INFINITE

    /** Whether the registry was read since the start of this process. */
    var isRead = false
        private set

    /** Makes the next call if it is due; a process that hears no other one calls each [retryAfter]. */
    fun callIfDue(now: Duration, isAlone: Boolean, retryAfter: Duration) {
        if (now < nextCall && !(isAlone && now - lastCall >= retryAfter)) return
        lastCall = now
        if (isRegistered) {
            nextCall = now + INTERVAL + SPREAD * random.nextDouble()
            list(!isAlone)
        } else {
            nextCall = now + retryAfter
            register()
        }
    }

    /** Handles the result of a call; returns the records if the registry was read. */
    fun completed(result: RegistryResult): List<GatewayRecord>? = when (result) {
        RegistryResult.Registered -> {
            isRegistered = true
            list(false)
            null
        }
        is RegistryResult.Listed -> {
            isRead = true
            val isMissing = result.records.none { it.node == self.node && it.start >= self.start }
            if (result.isCurrent && isMissing) isRegistered = false
            result.records
        }
        RegistryResult.Failed -> null
    }

    private companion object {
        /**
         * Shortest interval between two reads of the registry. Processes that removed each other from their tables
         * during a network partition find each other again through the registry.
         */
        val INTERVAL = 15.seconds
        val SPREAD = 10.seconds
    }
}
