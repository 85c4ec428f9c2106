package org.orioleferry.cli

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.orioleferry.core.replay.Deployment
import org.orioleferry.core.replay.generateDay
import org.orioleferry.core.replay.toJsonLine
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path
import javax.xml.parsers.DocumentBuilderFactory

class PolicyCompareTest {
    @TempDir
    lateinit var folder: Path

    // Guards against loss in the stream format: a stream written to a file must give the figures of the original.
    @Test
    fun `a stream from a file should give the same table as the generated one`() {
        val file = folder.resolve("day.jsonl")
        Files.write(file, generateDay(Deployment.all.getValue("omotnica"), 4).map { it.toJsonLine() })
        val common = arrayOf("--policy", "first-fit", "--policy", "best-fit", "--deployment", "omotnica")
        val generated = tool("policy", "compare", "--stream", "generated:4", *common)
        expectThat(generated.exitCode).isEqualTo(0)
        expectThat(generated.stdout).contains("mean slowdown / bound").contains("class reprint: p99 slowdown")
        expectThat(tool("policy", "compare", "--stream", "$file", *common).stdout).isEqualTo(generated.stdout)
    }

    // Guards against a plot that is not valid XML or lacks a policy.
    @Test
    fun `the plot should be well-formed and show one line for each policy and panel`() {
        val file = folder.resolve("plot.svg")
        val run = tool("policy", "compare", "--stream", "generated:4", "--plot", "$file")
        expectThat(run.exitCode).isEqualTo(0)
        val image = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(file.toFile())
        expectThat(image.getElementsByTagName("polyline").length).isEqualTo(9)
        val texts = image.getElementsByTagName("text").let { list -> List(list.length) { list.item(it).textContent } }
        expectThat(
            texts,
        ).contains("guarantee-aware", "Utilisation (% of accelerators)", "Waiting (accelerators asked for)")
    }

    // Guards against a comparison over a stream that is invalid or cannot be read.
    @Test
    fun `a faulty stream should be refused with the line`() {
        val file = Files.writeString(folder.resolve("day.jsonl"), "{}\n")
        val run = tool("policy", "compare", "--stream", "$file")
        expectThat(run.exitCode).isEqualTo(ExitCode.USAGE.code)
        expectThat(run.stderr).contains("$file:1")
        expectThat(tool("policy", "compare", "--stream", "absent").exitCode).isEqualTo(ExitCode.USAGE.code)
        expectThat(tool("policy", "compare", "--stream", "generated:5-2").exitCode).isEqualTo(ExitCode.USAGE.code)
    }
}
