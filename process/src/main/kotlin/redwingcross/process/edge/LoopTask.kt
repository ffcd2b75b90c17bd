package redwingcross.process.edge

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Delivers a message to the task that owns the state it is about. */
typealias Post<Message> = (Message) -> Unit

/**
 * A task on the event loop. It owns its state, and [handle] is the only function that changes it; other tasks reach it
 * by [post]. The mailbox is bounded: when it is full the message is dropped and [onDropped] is told.
 */
class LoopTask<Message>(
    private val loop: EventLoop,
    private val capacity: Int,
    private val onDropped: () -> Unit,
    private val handle: (Message) -> Unit,
) {
    private val mailbox = ArrayDeque<Message>()
    private var draining = false

    /** Puts a message into the mailbox; called on the event loop. */
    val post: Post<Message> = { message ->
        if (mailbox.size >= capacity) {
            onDropped()
        } else {
            mailbox.addLast(message)
            if (!draining) {
                draining = true
                loop.execute(::drain)
            }
        }
    }

    /** Puts [message] into the mailbox again and again. */
    fun every(period: Duration, message: Message) {
        val nanos = period.inWholeNanoseconds
        loop.scheduleWithFixedDelay({ post(message) }, nanos, nanos, TimeUnit.NANOSECONDS)
    }

    private fun drain() {
        try {
            while (mailbox.isNotEmpty()) handle(mailbox.removeFirst())
        } finally {
            draining = false
            if (mailbox.isNotEmpty()) {
                draining = true
                loop.execute(::drain)
            }
        }
    }
}
