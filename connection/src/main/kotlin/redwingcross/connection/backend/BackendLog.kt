package redwingcross.connection.backend

import io.github.oshai.kotlinlogging.KotlinLogging

internal val backendLog = KotlinLogging.logger("redwingcross.connection.backend")
