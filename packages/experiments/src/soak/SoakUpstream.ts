import {
  askToBeLeftAlone,
  refuseRequest,
  ScriptedUpstream,
  type ReceivedRequest,
} from "@pistachioway/standins";
import type { ServerResponse } from "node:http";
import type { Random } from "../bench/Random.js";
import { getBody, getEvent, streamLength } from "./bodies.js";
import type { RefusalRecord, RunRecord } from "./schema.js";

/**
 * How an upstream responds: normally (`well`), with a refusal (`refusing`), with a refusal and the
 * wish for a rest (`resting`), not at all (`mute`),
 * with status 500 (`failing`), with a connection that closes within the response (`torn`),
 * or with a second response that no request asked for (`extra`).
 */
export type UpstreamMode = "well" | "refusing" | "resting" | "mute" | "failing" | "torn" | "extra";

const eventMilliseconds = 25;
const maxWorkMilliseconds = 60;
const restMilliseconds = 1_600;
const millisecondsPerSecond = 1_000;

/** An upstream that records the requests that it runs, and responds as its mode says. */
export class SoakUpstream {
  mode: UpstreamMode = "well";
  /** Whether the upstream is being replaced. */
  isDraining = false;
  /** Whether its responses announce that it leaves. */
  isLeaving = false;
  readonly server: ScriptedUpstream;

  private constructor(
    readonly id: string,
    private readonly random: Random,
    private readonly onRun: (run: RunRecord) => void,
    private readonly onRefusal: (refusal: RefusalRecord) => void,
  ) {
    this.server = ScriptedUpstream.create(id, (request, response) => {
      this.serve(request, response);
    });
  }

  /**
   * Creates an upstream that is not listening yet.
   * @param id - Id in the registry.
   * @param softwareVersion - Version of its software.
   * @param random - Random source for the duration of its work.
   * @param onRun - Receives the record of each run.
   * @param onRefusal - Receives the record of each refusal with a wish for a rest.
   */
  static create(
    id: string,
    softwareVersion: string,
    random: Random,
    onRun: (run: RunRecord) => void,
    onRefusal: (refusal: RefusalRecord) => void,
  ): SoakUpstream {
    const upstream = new SoakUpstream(id, random, onRun, onRefusal);
    upstream.server.softwareVersion = softwareVersion;
    return upstream;
  }

  private serve(request: ReceivedRequest, response: ServerResponse): void {
    if (request.path === "/healthz") {
      response.writeHead(200, { instance: this.id, "content-length": 0 }).end();
      return;
    }
    if (this.isLeaving) {
      response.setHeader("server-leaving", "1");
    }
    const isMisdirected = request.expectedUpstream !== this.id;
    if (!isMisdirected && this.mode === "resting") {
      this.refuseForRest(request, response);
      return;
    }
    if (isMisdirected || this.mode === "refusing") {
      refuseRequest(request, response);
      return;
    }
    const { id, team, key, lastEventId } = request;
    const { softwareVersion } = this.server;
    const run = { id, upstream: this.id, softwareVersion, lastEventId, team, key };
    this.onRun({ ...run, startedAt: performance.now() });
    const isStream = request.path.startsWith("/stream/") || request.path.startsWith("/once/");
    setTimeout(() => {
      if (isStream) {
        this.stream(request, response);
      } else {
        this.answer(request, response);
      }
    }, this.random.getIndex(maxWorkMilliseconds));
  }

  private refuseForRest(request: ReceivedRequest, response: ServerResponse): void {
    const at = performance.now();
    const restEndsAt = at + restMilliseconds;
    this.onRefusal({ id: request.id, upstream: this.id, at, restEndsAt });
    askToBeLeftAlone(String(restMilliseconds / millisecondsPerSecond))(request, response);
  }

  private answer({ id }: ReceivedRequest, response: ServerResponse): void {
    const body = getBody(id);
    const headers = { "request-id": id, "response-stamp": `stamp-${id}` };
    switch (this.mode) {
      case "mute":
        return;
      case "failing":
        response.writeHead(500, { ...headers, "content-length": 0 }).end();
        return;
      case "torn":
        response.writeHead(200, { ...headers, "content-length": body.length });
        response.write(body.slice(0, body.length / 2), () => response.socket?.destroy());
        return;
      case "extra":
        response.writeHead(200, { ...headers, "content-length": body.length }).end(body);
        response.socket?.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
        return;
      default:
        response.writeHead(200, { ...headers, "content-length": body.length }).end(body);
    }
  }

  private stream({ id, lastEventId }: ReceivedRequest, response: ServerResponse): void {
    if (this.mode === "mute") {
      return;
    }
    const headers = { "request-id": id, "response-stamp": `stamp-${id}` };
    response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    let event = Number(lastEventId ?? 0);
    const timer = setInterval(() => {
      event += 1;
      const text = event <= streamLength ? getEvent(id, event) : "";
      if (this.mode === "torn" && event > streamLength / 2) {
        clearInterval(timer);
        response.write(text.slice(0, text.length / 2), () => response.socket?.destroy());
      } else if (event >= streamLength) {
        clearInterval(timer);
        response.end(text);
      } else {
        response.write(text);
      }
    }, eventMilliseconds);
    response.once("close", () => {
      clearInterval(timer);
    });
  }
}
