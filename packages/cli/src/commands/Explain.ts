import { Args, Flags } from "@oclif/core";
import type { Explanation, ExplanationCandidate } from "@pistachioway/kernel";
import { queryDaemons } from "../daemons/index.js";
import { exitCodes } from "../exitCodes.js";
import { formatNumber, formatTable, toPrintable } from "../text/index.js";
import { DaemonCommand, type ReportedFailure } from "./DaemonCommand.js";

interface ExplainReport {
  readonly explanations: readonly { readonly daemon: string; readonly explanation: Explanation }[];
  readonly failures: readonly ReportedFailure[];
}

/** Shows which engine each daemon would place a chat on, and why. */
export class Explain extends DaemonCommand {
  static override description =
    "Show which engine each daemon would choose for a chat, and why, with every candidate's load.";

  static override args = {
    chat: Args.string({ description: "Id of the chat.", required: true }),
  };

  static override flags = {
    model: Flags.string({ description: "Name of the model.", required: true }),
    team: Flags.string({
      description: "Team of the chat; without it, the id must be the one that the engines receive.",
    }),
  };

  async run(): Promise<ExplainReport> {
    const { args, flags } = await this.parse(Explain);
    const { responses, failures } = await queryDaemons(this.getAddresses(flags.daemon), (client) =>
      client.getExplanation(args.chat, flags.model, flags.team),
    );
    for (const { address, value } of responses) {
      this.logExplanation(address, value);
    }
    return {
      explanations: responses.map(({ address, value }) => ({
        daemon: address,
        explanation: value,
      })),
      failures: this.reportFailures(failures),
    };
  }

  private logExplanation(address: string, explanation: Explanation): void {
    const choice = explanation.choice ?? undefined;
    if (choice === undefined) {
      this.raiseExitCode(exitCodes.findings);
    }
    const { chat, model, mean, limit } = explanation;
    const heading = `${address}: chat ${chat}, model ${model} -> ${choice ?? "no engine"}`;
    const load = `mean load ${formatNumber(mean)}, limit ${formatNumber(limit)}`;
    this.logSection(toPrintable(heading), `${load}\n${formatCandidates(explanation.candidates)}`);
  }
}

function formatCandidates(candidates: readonly ExplanationCandidate[]): string {
  const ranked = [...candidates].sort((a, b) => a.rank - b.rank);
  return formatTable(
    ["RANK", "ENGINE", "ZONE", "LOAD", "ELIGIBLE", "REASON"],
    ranked.map(({ rank, engine, zone, load, eligible, reason }) => [
      rank,
      engine,
      zone,
      load,
      eligible ? "yes" : "no",
      reason,
    ]),
  );
}
