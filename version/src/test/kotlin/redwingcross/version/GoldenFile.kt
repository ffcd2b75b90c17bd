package redwingcross.version

import java.io.File
import kotlin.test.assertEquals

/**
 * Compares [session] line by line with the golden file [name] in `src/test/resources/golden` and fails with the lines
 * from the first difference on. The system property `redwingcross.updateGolden=true` updates the file instead.
 */
internal fun compareWithGolden(name: String, session: String) {
    val golden = File("src/test/resources/golden", name)
    if (System.getProperty("redwingcross.updateGolden") == "true") {
        golden.parentFile.mkdirs()
        golden.writeText(session)
    }
    val expected = golden.readText().lines()
    val found = session.lines()
    val first = expected.zip(found).indexOfFirst { (wanted, line) -> wanted != line }
    val at = if (first < 0) minOf(expected.size, found.size) else first
    assertEquals(
        expected.drop(at).take(5).joinToString("\n"),
        found.drop(at).take(5).joinToString("\n"),
        "the session differs from $golden from line ${at + 1} on; -DupdateGolden=true rewrites it",
    )
}
