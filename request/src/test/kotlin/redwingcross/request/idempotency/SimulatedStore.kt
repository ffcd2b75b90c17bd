package redwingcross.request.idempotency

/** Fault of a call to the store. */
enum class StoreFault { NONE, LOST_ANSWER, LOST_REQUEST, NOT_SENT, DELAYED, STALE_READ }

/** Simulation of the platform's store: versioned records with conditional writes, some of which take effect later. */
class SimulatedStore {
    private val records = mutableMapOf<RecordName, StoredRecord>()
    private val previous = mutableMapOf<RecordName, StoredRecord?>()
    private val delayed = mutableListOf<() -> Unit>()
    private var version = 0L
    var isDown = false

    operator fun get(name: RecordName): StoredRecord? = records[name]

    fun write(name: RecordName, effect: CallEffect, fault: StoreFault): CallEvent = when {
        fault == StoreFault.NOT_SENT -> CallEvent.NotSent("connection refused")

        isDown || fault == StoreFault.LOST_REQUEST -> CallEvent.Lost("connection closed")

        fault == StoreFault.DELAYED -> CallEvent.Lost("no answer").also { delayed += { apply(name, effect) } }

        else -> apply(name, effect).let { if (fault == StoreFault.LOST_ANSWER) CallEvent.Lost("answer lost") else it }
    }

    fun read(name: RecordName, fault: StoreFault): CallEvent = when {
        isDown || fault == StoreFault.NOT_SENT || fault == StoreFault.LOST_ANSWER -> CallEvent.ReadFailed("no answer")
        fault == StoreFault.STALE_READ -> CallEvent.Read(previous[name])
        else -> CallEvent.Read(records[name])
    }

    fun applyDelayed(pick: Int) {
        if (delayed.isNotEmpty()) delayed.removeAt(pick % delayed.size)()
    }

    fun applyAllDelayed() = repeat(delayed.size) { applyDelayed(0) }

    /** Removes all records, as the controller does after the retention period. */
    fun expireAll() {
        applyAllDelayed()
        records.clear()
        previous.clear()
    }

    private fun apply(name: RecordName, effect: CallEffect): CallEvent {
        val (expected, record) = when (effect) {
            is CallEffect.Write -> effect.expected to effect.record
            is CallEffect.Delete -> effect.expected to null
            else -> error("not a write: $effect")
        }
        if (records[name]?.version != expected) return CallEvent.Conflict
        previous[name] = records.remove(name)
        val written = RecordVersion(++version)
        if (record != null) records[name] = StoredRecord(written, record)
        return CallEvent.Written(written)
    }
}
