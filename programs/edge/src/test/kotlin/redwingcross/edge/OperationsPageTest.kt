package redwingcross.edge

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against an operations page whose log queries no longer match the log lines that it quotes. */
class OperationsPageTest {
    private val page = Files.readAllLines(Path.of("..", "..", "docs", "OPERATIONS.md"))
    private val log = checkNotNull(javaClass.getResource("/recorded.log")).readText().lines().filter(String::isNotEmpty)

    /** The queries of the page, each with the log lines that the page shows below it. */
    private fun examples(): List<Pair<Regex, List<String>>> = page.withIndex()
        .filter { (_, line) -> line.startsWith(QUERY) }
        .map { (index, line) ->
            val shown = page.drop(index + 1).takeWhile { it.startsWith(INDENT) }.map { it.removePrefix(INDENT) }
            Regex(line.removePrefix(QUERY).substringBefore('\'')) to shown
        }

    @Test
    fun `each query of the operations page matches exactly the log lines quoted below it`() {
        val examples = examples()
        assertTrue(examples.size >= 5, "the page has ${examples.size} queries")
        for ((query, shown) in examples) assertEquals(shown, log.filter { query.containsMatchIn(it) }, "$query")
    }

    @Test
    fun `each event in the recorded log is written by the code`() {
        val sources = listOf("programs/edge", "process", "platform", "version").flatMap { module ->
            Files.walk(Path.of("..", "..", module, "src", "main")).use { files ->
                files.filter { it.toString().endsWith(".kt") }.map { Files.readString(it) }.toList()
            }
        }
        val events = log.mapNotNull { Regex("event=([a-z_]+)").find(it)?.groupValues?.get(1) }.toSet()
        val unknown = events.filter { event ->
            sources.none { "\"$event\"" in it || (event.startsWith("group_") && "\"group_\$" in it) }
        }
        assertEquals(emptyList(), unknown)
    }

    private companion object {
        const val INDENT = "    "
        const val QUERY = "    grep -E '"
    }
}
