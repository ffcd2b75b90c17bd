package redwingcross.version.bundle

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.test.assertEquals

/** Guards against versions that are compared as text, which would order version 10 before version 9. */
class BundleVersionProperties {
    @Property(seed = "20261204", tries = 200)
    fun `bundle versions are ordered by number`(@ForAll first: Long, @ForAll second: Long) {
        assertEquals(first.compareTo(second), BundleVersion(first).compareTo(BundleVersion(second)))
    }
}
