package redwingcross.process.edge

import io.netty.channel.EventLoop
import redwingcross.connection.http.runEach
import kotlin.time.Duration

/** Puts a message into the mailbox of a task; does not wait. */
typealias PostMessage<Message> = (Message) -> Unit

/**
 * A task on the event loop with a mailbox of at most [capacity] messages. Only [handle] changes the state of the task;
 * other tasks send it messages through [post]. A message that arrives while the mailbox is full is dropped and reported
 * to [onDropped].
 */
class EventLoopTask<Message>(
    private val loop: EventLoop,
    private val capacity: Int,
    private val onDropped: () -> Unit,
    private val handle: (Message) -> Unit,
) {
    private val mailbox = ArrayDeque<Message>()
    private var draining = false

    /** Puts a message into the mailbox; called on the event loop only. */
    val post: PostMessage<Message> = { message ->
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

    /** Puts [message] into the mailbox periodically; the first time within one [period]. */
    fun postPeriodically(period: Duration, message: Message): Unit = loop.runEach(period) { post(message) }

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
