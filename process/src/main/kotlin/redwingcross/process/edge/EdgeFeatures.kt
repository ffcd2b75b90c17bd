package redwingcross.process.edge

import redwingcross.request.Checked
import redwingcross.request.Finding

/** A part of the edge process that is on only where the settings call for it. */
enum class EdgeFeature(
    /** Name in the option and the environment variable that override the settings file. */
    val label: String,
) {
    /** The active controller grants the slots of all groups, one for each request of a gateway. */
    EVEN_PLACEMENT("even-placement"),

    /** Waiting and refusing are decided from the demand of the whole fleet. */
    SHARED_ADMISSION("shared-admission"),

    /** Gateways share what they observe of slow and stalled groups. */
    SHARED_HEALTH("shared-health"),

    /** The number of groups of each model follows the demand. */
    DEMAND_FORMATION("demand-formation"),

    /** A restarted process takes back at once the controller lease that its earlier start held. */
    LEASE_RECLAIM("lease-reclaim"),

    /** The requests of each customer are counted and reported to the platform. */
    USAGE_REPORTS("usage-reports"),
}

/** The features that are on. */
data class EdgeFeatures(val enabled: Set<EdgeFeature> = emptySet()) {
    operator fun contains(feature: EdgeFeature): Boolean = feature in enabled
}

/** An operator's choice of features in place of the one that the settings file makes. */
sealed interface FeatureOverride {
    /** The settings file decides. */
    data object Automatic : FeatureOverride

    /** Exactly [features] are on. */
    data class Exactly(val features: EdgeFeatures) : FeatureOverride

    /** The features that are on if the settings file asks for [automatic]. */
    fun applyTo(automatic: EdgeFeatures): EdgeFeatures = when (this) {
        Automatic -> automatic
        is Exactly -> features
    }

    companion object {
        private const val AUTOMATIC = "auto"
        private const val ALL = "all"
        private const val NONE = "none"

        /**
         * Parses `auto`, `all`, `none` or a comma-separated list of labels. If [text] is invalid, the result contains a
         * finding at [place] for each unknown label.
         */
        fun parse(text: String, place: String): Checked<FeatureOverride> = when (text) {
            AUTOMATIC -> Checked.Valid(Automatic)
            ALL -> Checked.Valid(Exactly(EdgeFeatures(EdgeFeature.entries.toSet())))
            NONE -> Checked.Valid(Exactly(EdgeFeatures()))
            else -> parseLabels(text.split(',').map(String::trim), place)
        }

        private fun parseLabels(labels: List<String>, place: String): Checked<FeatureOverride> {
            val byLabel = EdgeFeature.entries.associateBy { it.label }
            val unknown = labels.filterNot { it in byLabel }
            if (unknown.isEmpty()) {
                return Checked.Valid(Exactly(EdgeFeatures(labels.mapTo(mutableSetOf(), byLabel::getValue))))
            }
            val known = (listOf(AUTOMATIC, ALL, NONE) + byLabel.keys).joinToString()
            return Checked.Invalid(unknown.map { Finding(place, "\"$it\" is not a feature; known are $known") })
        }
    }
}
