package redwingcross.standins.engine

import io.undertow.Undertow
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.util.Methods
import io.undertow.util.SameThreadExecutor
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.http4k.server.Http4kUndertowHttpHandler
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.Xnio
import org.xnio.XnioWorker
import redwingcross.connection.engine.EngineClient
import redwingcross.connection.engine.EngineOrder
import redwingcross.request.MonotonicClock
import redwingcross.request.Vm
import java.net.InetSocketAddress

/** One engine to start; port 0 takes any free port. */
data class EngineSpec(val vm: Vm, val port: Int, val settings: EngineSettings = EngineSettings())

private const val IO_THREADS = 4
private const val CONTROL_THREADS = 64
private const val STREAM_THREADS = 256

/** Runs stand-in engines in one process, each with its own listener, state and faults. */
class EngineHost(
    specs: List<EngineSpec>,
    private val address: String = "127.0.0.1",
    private val clock: MonotonicClock = MonotonicClock.system,
) : AutoCloseable {
    private val streamScope =
        CoroutineScope(SupervisorJob() + Dispatchers.IO.limitedParallelism(STREAM_THREADS, "engine-streams"))
    private val taskScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val client = EngineClient()
    private val worker: XnioWorker =
        Xnio.getInstance().createWorker(
            OptionMap
                .builder()
                .set(Options.WORKER_IO_THREADS, IO_THREADS)
                .set(Options.WORKER_TASK_CORE_THREADS, IO_THREADS)
                .set(Options.WORKER_TASK_MAX_THREADS, CONTROL_THREADS)
                .set(Options.THREAD_DAEMON, true)
                .map,
        )
    private val engines = specs.associate { it.vm to start(it) }

    private class Engine(val task: EngineTask, val server: Undertow)

    /** Endpoint of an engine as `address:port`, with the bound port. */
    fun endpoint(vm: Vm): String {
        val bound = engines.getValue(vm).server.listenerInfo.first().address as InetSocketAddress
        return "$address:${bound.port}"
    }

    /** Changes the faults of an engine, like `PUT /standin/faults`. */
    fun setFaults(vm: Vm, faults: EngineFaults) =
        runBlocking { engines.getValue(vm).task.change { state, now -> state.withFaults(faults, now) } }

    /** The attempts that an engine ran, oldest first, like `GET /standin/runs`. */
    fun runs(vm: Vm): List<EngineRun> =
        runBlocking { engines.getValue(vm).task.read { state, _ -> state.runs.values.toList() } }

    /** The order that is in force at an engine; null if it has none since its last start. */
    fun order(vm: Vm): EngineOrder? = runBlocking { engines.getValue(vm).task.read { state, _ -> state.order } }

    override fun close() {
        engines.values.forEach { it.server.stop() }
        streamScope.cancel()
        taskScope.cancel()
        client.close()
        worker.shutdownNow()
    }

    private fun start(spec: EngineSpec): Engine {
        val task = EngineTask(EngineState(spec.vm, spec.settings, bootAt = clock.now(), coldSince = clock.now()), clock)
        taskScope.launch { task.run() }
        val gate = FaultGate(task)
        val chat = ChatEndpoint(task, gate, MemberCheck(spec.vm, client.readReport, task), streamScope)
        val control = ControlEndpoint(gate, streamScope, Http4kUndertowHttpHandler(EngineControl(task).handler))
        val server =
            Undertow
                .builder()
                .setWorker(worker)
                .addHttpListener(spec.port, address)
                .setHandler { exchange ->
                    if (exchange.requestPath == "/v1/chat/completions") {
                        chat.handleRequest(exchange)
                    } else {
                        control.handleRequest(exchange)
                    }
                }.build()
        server.start()
        return Engine(task, server)
    }
}

/** Applies the faults to a control request, then has http4k handle it on a worker thread. */
private class ControlEndpoint(
    private val gate: FaultGate,
    private val streamScope: CoroutineScope,
    private val next: HttpHandler,
) : HttpHandler {
    override fun handleRequest(exchange: HttpServerExchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, Runnable { streamScope.launch { handle(exchange) } })
    }

    private suspend fun handle(exchange: HttpServerExchange) {
        val decision =
            when {
                exchange.requestPath.startsWith("/standin/") -> GateDecision.Proceed(RequestFault.NONE)
                exchange.requestMethod == Methods.POST -> gate.admit(stream = false)
                gate.awaitAvailable() -> GateDecision.Proceed(RequestFault.NONE)
                else -> GateDecision.Close
            }
        when (decision) {
            GateDecision.Close -> exchange.abort()
            GateDecision.HoldOpen -> gate.holdOpen(exchange)
            is GateDecision.Proceed -> {
                if (decision.fault == RequestFault.LOSE_ANSWER) exchange.addResponseCommitListener { it.abort() }
                exchange.startBlocking()
                exchange.dispatch(next)
            }
        }
    }
}
