package redwingcross.connection.caller

import io.github.oshai.kotlinlogging.KotlinLogging

internal val callerLog = KotlinLogging.logger("redwingcross.connection.caller")
