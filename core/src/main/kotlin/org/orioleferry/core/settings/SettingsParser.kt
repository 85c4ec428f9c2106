package org.orioleferry.core.settings

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.settings.NumberUnit.BYTES
import org.orioleferry.core.settings.NumberUnit.COUNT
import org.orioleferry.core.settings.NumberUnit.MILLISECONDS
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

// Periods above ten minutes are far outside all bounds in docs/design.md.
private val PERIOD_RANGE_MS = 10L..600_000L
private val DELAY_RANGE_MS = 0L..600_000L
private val PORT_RANGE = 0..65_535
private val BUFFER_RANGE_BYTES = 1_024..16_777_216
private val LENGTH_RANGE = 1..1_000_000
private val NAME_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
private const val NAME_RULE = "a name of 1 to 63 letters, digits, '-' or '_'"
private const val EXPECTED_FILE = "a file of YAML sections such as 'instance', 'listen' and 'platform'"

internal fun loadSettings(path: Path): SettingsResult =
    try {
        parseSettings(Files.readString(path), path.toString())
    } catch (e: IOException) {
        val found = "an unreadable one: ${e.javaClass.simpleName}"
        SettingsResult.Rejected(listOf(SettingsProblem(path.toString(), 0, "", "a readable UTF-8 file", found)))
    }

internal fun parseSettings(
    text: String,
    file: String,
): SettingsResult {
    val problems = ProblemCollector(file)
    val node =
        try {
            Yaml.default.parseToYamlNode(text)
        } catch (e: YamlException) {
            problems.add(e.line, "", EXPECTED_FILE, e.message.lineSequence().first())
            return SettingsResult.Rejected(problems.sorted())
        }
    if (node !is YamlMap) {
        problems.add(node.location.line, "", EXPECTED_FILE, describe(node))
        return SettingsResult.Rejected(problems.sorted())
    }
    val root = SectionReader(node, "", 1, problems)
    val settings = readSections(root)
    root.finish()
    checkCombinations(settings, problems)
    val found = problems.sorted()
    return if (found.isEmpty()) SettingsResult.Loaded(settings) else SettingsResult.Rejected(found)
}

private fun readSections(root: SectionReader): DaemonSettings =
    DaemonSettings(
        instance = root.read("instance") { readInstance() },
        listen = root.read("listen") { readListen() },
        platform = root.read("platform") { readPlatform() },
        dataCentres = root.texts("dataCentres", "a list of data centres", NAME_PATTERN::matches).map(::DataCentre),
        ownership = root.read("ownership") { readOwnership() },
        membership = root.read("membership") { readMembership() },
        notes = root.read("notes") { NoteSettings(period("pullMs", NoteSettings().pullMs)) },
        requests = root.read("requests") { readRequests() },
        jobs = root.read("jobs") { readJobs() },
        peers = root.read("peers") { readPeers() },
        events =
            root.read("events") {
                EventSettings(int("bufferSize", COUNT, LENGTH_RANGE, EventSettings().bufferSize))
            },
        drain = root.read("drain") { readDrain() },
    )

private fun <T> SectionReader.read(
    name: String,
    body: SectionReader.() -> T,
): T {
    val section = section(name)
    return section.body().also { section.finish() }
}

private fun SectionReader.period(
    name: String,
    default: Long,
): Long = long(name, MILLISECONDS, PERIOD_RANGE_MS, default)

private fun SectionReader.readInstance(): InstanceSettings =
    InstanceSettings(
        id = InstanceId(text("id", NAME_RULE, NAME_PATTERN::matches)),
        dataCentre = DataCentre(text("dataCentre", NAME_RULE, NAME_PATTERN::matches)),
    )

private fun SectionReader.readListen(): ListenSettings =
    ListenSettings(
        host = text("host", "an IP address that peers can reach, such as 127.0.0.1", ::isReachableAddress),
        httpPort = int("httpPort", COUNT, PORT_RANGE, null),
        peerPort = int("peerPort", COUNT, PORT_RANGE, null),
    )

private fun SectionReader.readPlatform(): PlatformSettings {
    val rule = "a URL with an IP address and a port, such as http://127.0.0.1:7000"
    return PlatformSettings(text("baseUrl", rule, ::isPlainBaseUrl), period("deadlineMs", 800))
}

private fun SectionReader.readOwnership(): OwnershipSettings {
    val default = OwnershipSettings()
    return OwnershipSettings(
        ttlMs = period("ttlMs", default.ttlMs),
        renewMs = period("renewMs", default.renewMs),
        otherStandbyReadMs = period("otherStandbyReadMs", default.otherStandbyReadMs),
        rankDelayMs = long("rankDelayMs", MILLISECONDS, DELAY_RANGE_MS, default.rankDelayMs),
    )
}

private fun SectionReader.readMembership(): MembershipSettings {
    val default = MembershipSettings()
    return MembershipSettings(
        heartbeatMs = period("heartbeatMs", default.heartbeatMs),
        suspectMs = period("suspectMs", default.suspectMs),
        deadMs = period("deadMs", default.deadMs),
        selfLateMs = period("selfLateMs", default.selfLateMs),
        listPullMs = period("listPullMs", default.listPullMs),
    )
}

private fun SectionReader.readRequests(): RequestSettings {
    val default = RequestSettings()
    return RequestSettings(
        maxBodyBytes = int("maxBodyBytes", BYTES, BUFFER_RANGE_BYTES, default.maxBodyBytes),
        maxQueued = int("maxQueued", COUNT, LENGTH_RANGE, default.maxQueued),
        defaultDeadlineMs = period("defaultDeadlineMs", default.defaultDeadlineMs),
        recordMs = period("recordMs", default.recordMs),
    )
}

private fun SectionReader.readJobs(): JobSettings {
    val default = JobSettings()
    return JobSettings(
        taskLeaseTtlMs = period("taskLeaseTtlMs", default.taskLeaseTtlMs),
        reclaimGraceMs = long("reclaimGraceMs", MILLISECONDS, DELAY_RANGE_MS, default.reclaimGraceMs),
        scanMs = period("scanMs", default.scanMs),
    )
}

private fun SectionReader.readPeers(): PeerSettings {
    val default = PeerSettings()
    return PeerSettings(
        maxFrameBytes = int("maxFrameBytes", BYTES, BUFFER_RANGE_BYTES, default.maxFrameBytes),
        progressMs = period("progressMs", default.progressMs),
    )
}

private fun SectionReader.readDrain(): DrainSettings {
    val default = DrainSettings()
    return DrainSettings(
        refuseAfterMs = long("refuseAfterMs", MILLISECONDS, DELAY_RANGE_MS, default.refuseAfterMs),
        limitMs = period("limitMs", default.limitMs),
    )
}
