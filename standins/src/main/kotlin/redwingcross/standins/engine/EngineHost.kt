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

/** Hosts stand-in engines in one process, each with its own listener, state and faults. */
class EngineHost(
    specs: List<EngineSpec>,
    private val address: String = "127.0.0.1",
    private val clock: MonotonicClock = MonotonicClock.system,
) : AutoCloseable {
    private val scope =
        CoroutineScope(SupervisorJob() + Dispatchers.IO.limitedParallelism(STREAM_THREADS, "engine-streams"))
    private val tasks = CoroutineScope(SupervisorJob() + Dispatchers.Default)
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

    /** The endpoint (`address:port`) of an engine. */
    fun endpoint(vm: Vm): String {
        val bound = engines.getValue(vm).server.listenerInfo.first().address as InetSocketAddress
        return "$address:${bound.port}"
    }

    /** Changes the faults of an engine, like `PUT /standin/faults`. */
    fun setFaults(vm: Vm, faults: EngineFaults) =
        runBlocking { engines.getValue(vm).task.change { state, now -> state.faulted(faults, now) } }

    /** The attempts that an engine ran, like `GET /standin/runs`. */
    fun runs(vm: Vm): List<EngineRun> =
        runBlocking { engines.getValue(vm).task.read { state, _ -> state.runs.values.toList() } }

    /** The order that an engine carries out now. */
    fun order(vm: Vm): EngineOrder? = runBlocking { engines.getValue(vm).task.read { state, _ -> state.order } }

    override fun close() {
        engines.values.forEach { it.server.stop() }
        scope.cancel()
        tasks.cancel()
        client.close()
        worker.shutdownNow()
    }

    private fun start(spec: EngineSpec): Engine {
        val task = EngineTask(EngineState(spec.vm, spec.settings, bootAt = clock.now(), coldSince = clock.now()), clock)
        tasks.launch { task.run() }
        val gate = FaultGate(task)
        val chat = ChatEndpoint(task, gate, MemberCheck(spec.vm, client.readReport, task), scope)
        val control = ControlEndpoint(gate, scope, Http4kUndertowHttpHandler(EngineControl(task).handler))
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

/** Applies the faults to a control request, then lets http4k answer it on a worker thread. */
private class ControlEndpoint(
    private val gate: FaultGate,
    private val scope: CoroutineScope,
    private val next: HttpHandler,
) : HttpHandler {
    override fun handleRequest(exchange: HttpServerExchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, Runnable { scope.launch { pass(exchange) } })
    }

    private suspend fun pass(exchange: HttpServerExchange) {
        val answer =
            when {
                exchange.requestPath.startsWith("/standin/") -> GateAnswer.Proceed(RequestFault.NONE)
                exchange.requestMethod == Methods.POST -> gate.enter(stream = false)
                gate.passReading() -> GateAnswer.Proceed(RequestFault.NONE)
                else -> GateAnswer.Close
            }
        when (answer) {
            GateAnswer.Close -> exchange.abort()
            GateAnswer.KeepSilent -> gate.holdSilently(exchange)
            is GateAnswer.Proceed -> {
                if (answer.fault == RequestFault.LOSE_ANSWER) exchange.addResponseCommitListener { it.abort() }
                exchange.startBlocking()
                exchange.dispatch(next)
            }
        }
    }
}
