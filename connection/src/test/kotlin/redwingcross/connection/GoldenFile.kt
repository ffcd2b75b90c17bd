package redwingcross.connection

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.fail

/**
 * Asserts that [actual] equals the golden file [name] in `src/test/resources/golden`. The system property
 * `redwingcross.updateGolden=true` overwrites the file with [actual] first.
 */
fun assertGolden(name: String, actual: String) {
    val file = Path.of("src/test/resources/golden", name)
    if (System.getProperty("redwingcross.updateGolden") == "true") {
        Files.createDirectories(file.parent)
        Files.writeString(file, actual)
    }
    val expected = if (Files.exists(file)) Files.readString(file) else ""
    if (expected != actual) fail("$file differs; -DupdateGolden=true rewrites it\n${difference(expected, actual)}")
}

/** Describes the first difference with the lines around it; `-` marks lines of the file and `+` lines of [actual]. */
private fun difference(expected: String, actual: String): String {
    val old = expected.lines()
    val new = actual.lines()
    val first = (0..maxOf(old.size, new.size)).first { old.getOrNull(it) != new.getOrNull(it) }
    val context = old.subList(maxOf(0, first - 3), minOf(first, old.size)).map { "  $it" }
    val removed = old.drop(first).take(5).map { "- $it" }
    val added = new.drop(first).take(5).map { "+ $it" }
    return (listOf("line ${first + 1}:") + context + removed + added).joinToString("\n")
}
