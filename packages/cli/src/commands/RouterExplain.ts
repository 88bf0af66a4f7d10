import { Args } from "@oclif/core";
import { UnknownRequestError } from "../errors/index.js";
import { explainRequest, toEvents, type RequestExplanation } from "../logs/index.js";
import { toPrintable } from "../text/index.js";
import { formatEvents } from "../timeline/index.js";
import { LogCommand } from "./LogCommand.js";

/** Explains the outcome of a request from the logs of the routers. */
export class RouterExplain extends LogCommand {
  static override description =
    "Explain the outcome of a request from the logs of routers, and show the lines it is based on.";

  static override args = {
    id: Args.string({ description: "Id of the request.", required: true }),
  };

  async run(): Promise<RequestExplanation> {
    const { args, flags } = await this.parse(RouterExplain);
    const explanation = explainRequest(await this.readLines(flags.log), args.id);
    if (explanation === undefined) {
      throw new UnknownRequestError(args.id);
    }
    this.logExplanation(explanation);
    return explanation;
  }

  private logExplanation(explanation: RequestExplanation): void {
    const { request, outcome, cause, advice, own, related } = explanation;
    this.log(toPrintable(`${request}: ${outcome}`));
    this.log(cause);
    this.log(advice);
    this.log(`\n${formatEvents(toEvents(own))}`);
    if (related.length > 0) {
      this.log(`\nNear in time\n${formatEvents(toEvents(related))}`);
    }
    const { failuresAtUpstream, routersThatSawThem } = explanation;
    if (failuresAtUpstream > 0) {
      const failures = `${String(failuresAtUpstream)} other requests failed at this upstream near in time`;
      this.log(`\n${failures}, seen by ${String(routersThatSawThem)} router(s)`);
    }
  }
}
