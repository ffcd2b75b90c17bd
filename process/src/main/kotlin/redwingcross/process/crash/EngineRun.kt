package redwingcross.process.crash

import redwingcross.request.BackendServer
import redwingcross.version.fleet.EngineStart

/**
 * One run of an engine, from its start to its end. Ends of an [engine] whose [start] is unknown count as the same
 * crash, which understates their number and so accuses less.
 */
data class EngineRun(val engine: BackendServer, val start: EngineStart?)
