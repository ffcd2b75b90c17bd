package redwingcross.process.edge

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Registers this process in the platform's registry and decides when the registry is read again. */
internal class RegistryCalls(
    private val self: GatewayRecord,
    /** Writes the registry entry of this process. */
    private val register: (RegistrationCall) -> Unit,
    /** Reads the registry; the argument is true if the list may be some seconds old. */
    private val list: (Boolean) -> Unit,
    private val random: Random,
) {
    private var isRegistered = false
    private var nextCall = Duration.ZERO
    private var lastCall = -Duration.INFINITE
    private var lastRegistration = RegistrationCall(0)

    /** The first registration whose result counts: the store may have lost what earlier ones wrote. */
    private var firstValid = lastRegistration.next

    /** Whether the entry may have been absent from the registry, so that a process that read it misses this one. */
    private var mayHaveBeenAbsent = true

    /** Whether the registry was read since the start of this process. */
    var isRead = false
        private set

    /** Makes the next call if it is due; a process that hears no other one calls each [retryAfter]. */
    fun callIfDue(now: Duration, isAlone: Boolean, retryAfter: Duration) {
        if (now < nextCall && !(isAlone && now - lastCall >= retryAfter)) return
        lastCall = now
        if (isRegistered) {
            nextCall = now + interval()
            list(!isAlone)
        } else {
            nextCall = now + retryAfter
            if (lastRegistration >= firstValid) mayHaveBeenAbsent = true
            lastRegistration = lastRegistration.next
            register(lastRegistration)
        }
    }

    /**
     * The store has come back from an older copy, which may lack the entry of this process. Every process of the fleet
     * gets this message at about the same time, so each one waits for a random part of [RESTORE_SPREAD].
     */
    fun storeRestored(now: Duration) {
        mayHaveBeenAbsent = !isRegistered || !isRead
        isRegistered = false
        firstValid = lastRegistration.next
        nextCall = now + RESTORE_SPREAD * random.nextDouble()
        lastCall = nextCall
    }

    private fun interval(): Duration = INTERVAL + SPREAD * random.nextDouble()

    /** Handles the result of a call; returns the records if the registry was read. */
    fun completed(result: RegistryResult): List<GatewayRecord>? = when (result) {
        is RegistryResult.Registered -> {
            registered(result)
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

    /** Reads the registry after the entry was written, so that of two processes that do so one finds the other. */
    private fun registered(result: RegistryResult.Registered) {
        if (result.call < firstValid) return
        isRegistered = true
        if (!result.wasPresent || mayHaveBeenAbsent) {
            list(false)
        } else {
            nextCall = lastCall + interval()
        }
    }

    private companion object {
        /**
         * Shortest interval between two reads of the registry. Processes that removed each other from their tables
         * during a network partition find each other again through the registry.
         */
        val INTERVAL = 15.seconds
        val SPREAD = 10.seconds

        /**
         * Time over which the processes of a fleet write their entries again after a restore of the store: 175 writes a
         * second in a fleet of 350, which is less than half of what the store takes.
         */
        val RESTORE_SPREAD = 2.seconds
    }
}
