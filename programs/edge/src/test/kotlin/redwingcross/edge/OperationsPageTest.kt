package redwingcross.edge

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a page for the engineers on call whose queries no longer find what it quotes. */
class OperationsPageTest {
    private val page = Files.readAllLines(Path.of("..", "..", "docs", "OPERATIONS.md"))
    private val log = checkNotNull(javaClass.getResource("/recorded.log")).readText().lines().filter(String::isNotEmpty)

    /** Queries of the page with the lines that it shows below each. */
    private fun examples(): List<Pair<Regex, List<String>>> = page.withIndex()
        .filter { (_, line) -> line.startsWith(QUERY) }
        .map { (index, line) ->
            val shown = page.drop(index + 1).takeWhile { it.startsWith(INDENT) }.map { it.removePrefix(INDENT) }
            Regex(line.removePrefix(QUERY).substringBefore('\'')) to shown
        }

    @Test
    fun `every query of the page finds the lines that it quotes`() {
        val examples = examples()
        assertTrue(examples.size >= 5, "the page has ${examples.size} queries")
        for ((query, shown) in examples) assertEquals(shown, log.filter { query.containsMatchIn(it) }, "$query")
    }

    @Test
    fun `every event that the page quotes is one that the code writes`() {
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
