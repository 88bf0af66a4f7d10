import {
  askToBeLeftAlone,
  refuseRequest,
  ScriptedUpstream,
  type ReceivedHead,
  type ReceivedRequest,
} from "@pistachioway/standins";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Random } from "../bench/Random.js";
import { getBody, getCallId, getEvent, getStream, isRequestBody, streamLength } from "./bodies.js";
import { isEarlyRefusal, writeEarlyAnswer } from "./earlyAnswers.js";
import { faultyAnswers } from "./faultyAnswers.js";
import { framings, writeFramedHead, type Framing } from "./framings.js";
import type { RefusalRecord, RunRecord } from "./schema.js";
import type { UpstreamMode } from "./upstreamModes.js";

const eventMilliseconds = 25;
/** Time between the halves of a whole answer. */
const halfMilliseconds = 10;
const maxWorkMilliseconds = 60;
const maxLateWorkMilliseconds = 3_000;
const restMilliseconds = 1_600;
const millisecondsPerSecond = 1_000;

/** An upstream that records the requests that it runs, and responds as its mode says. */
export class SoakUpstream {
  mode: UpstreamMode = "well";
  /** Whether the upstream is being replaced. */
  isDraining = false;
  /** Whether its process has just been started again. */
  isRestarting = false;
  /** Whether its responses announce that it leaves. */
  isLeaving = false;
  readonly server: ScriptedUpstream;
  /** Ids of the requests that it refused in mode `stray-earlier`, by connection. */
  private readonly refusedIds = new WeakMap<Socket, Set<string>>();

  private constructor(
    readonly id: string,
    private readonly random: Random,
    private readonly onRun: (run: RunRecord) => void,
    private readonly onRefusal: (refusal: RefusalRecord) => void,
  ) {
    this.server = ScriptedUpstream.create(
      id,
      (request, response) => {
        this.serve(request, response);
      },
      (head, response) => this.answerEarly(head, response),
    );
  }

  /**
   * Creates an upstream that is not listening yet.
   * @param id - Id in the registry.
   * @param softwareVersion - Version of its software.
   * @param zone - Availability zone that it publishes.
   * @param random - Random source for the duration of its work.
   * @param onRun - Receives the record of each run.
   * @param onRefusal - Receives the record of each refusal with a wish for a rest.
   */
  static create(
    id: string,
    softwareVersion: string,
    zone: string,
    random: Random,
    onRun: (run: RunRecord) => void,
    onRefusal: (refusal: RefusalRecord) => void,
  ): SoakUpstream {
    const upstream = new SoakUpstream(id, random, onRun, onRefusal);
    upstream.server.softwareVersion = softwareVersion;
    upstream.server.zone = zone;
    return upstream;
  }

  private answerEarly(head: ReceivedHead, response: ServerResponse): number | undefined {
    const isEarly =
      this.mode === "early" && head.method === "POST" && head.expectedUpstream === this.id;
    return isEarly
      ? writeEarlyAnswer(getCallId(head.path), head, response, this.random)
      : undefined;
  }

  private serve(request: ReceivedRequest, response: ServerResponse): void {
    if (response.headersSent) {
      this.endEarlyAnswer(request, response);
      return;
    }
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
    if (isMisdirected || this.mode === "refusing" || this.refusesFirst(request, response)) {
      refuseRequest(request, response);
      return;
    }
    this.recordRun(request);
    const isLate = request.path.startsWith("/late/");
    // A fault belongs to the mode in which the request began to run.
    const { mode } = this;
    setTimeout(
      () => {
        this.respond(request, response, mode);
      },
      this.random.getIndex(isLate ? maxLateWorkMilliseconds : maxWorkMilliseconds),
    );
  }

  private endEarlyAnswer(request: ReceivedRequest, response: ServerResponse): void {
    if (!isEarlyRefusal(response)) {
      this.recordRun(request);
    }
    response.end();
  }

  /** Checks whether a request is refused because its id comes on its connection for the first time. */
  private refusesFirst({ id }: ReceivedRequest, { socket }: ServerResponse): boolean {
    if (this.mode !== "stray-earlier" || socket === null) {
      return false;
    }
    const refused = this.refusedIds.get(socket) ?? new Set();
    this.refusedIds.set(socket, refused);
    const isFirst = !refused.has(id);
    refused.add(id);
    return isFirst;
  }

  private recordRun({ path, method, body, team, key, lastEventId }: ReceivedRequest): void {
    const id = getCallId(path);
    const { softwareVersion, zone } = this.server;
    const hasOwnBody = method === "POST" ? isRequestBody(id, body) : body === "";
    const source = { upstream: this.id, zone, softwareVersion };
    const run = { id, ...source, lastEventId, team, key, hasOwnBody };
    this.onRun({ ...run, startedAt: performance.now() });
  }

  private respond(request: ReceivedRequest, response: ServerResponse, mode: UpstreamMode): void {
    const answer = (): void => {
      if (request.path.startsWith("/stream/") || request.path.startsWith("/once/")) {
        this.stream(request, response);
      } else {
        this.answer(request, response);
      }
    };
    const faultyAnswer = faultyAnswers[mode] ?? answer;
    const callId = getCallId(request.path);
    faultyAnswer({ callId, request, source: this.id, response, random: this.random, answer });
  }

  private refuseForRest(request: ReceivedRequest, response: ServerResponse): void {
    const at = performance.now();
    const restEndsAt = at + restMilliseconds;
    this.onRefusal({ id: getCallId(request.path), upstream: this.id, at, restEndsAt });
    askToBeLeftAlone(String(restMilliseconds / millisecondsPerSecond))(request, response);
  }

  private answer({ id, path }: ReceivedRequest, response: ServerResponse): void {
    const callId = getCallId(path);
    const body = getBody(callId);
    const headers = { "request-id": id, "response-stamp": `stamp-${callId}` };
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
        writeFramedHead(response, this.pickFraming(), headers, body.length);
        response.write(body.slice(0, body.length / 2));
        setTimeout(() => response.end(body.slice(body.length / 2)), halfMilliseconds);
    }
  }

  /** Picks how the end of a response is marked. */
  private pickFraming(): Framing {
    return framings[this.random.getIndex(framings.length)] ?? "chunks";
  }

  private stream({ id, path, lastEventId }: ReceivedRequest, response: ServerResponse): void {
    if (this.mode === "mute") {
      return;
    }
    const callId = getCallId(path);
    const stamps = { "request-id": id, "response-stamp": `stamp-${callId}` };
    const headers = { ...stamps, "content-type": "text/event-stream" };
    let event = Number(lastEventId ?? 0);
    const { length } = getStream(callId, this.id, event);
    writeFramedHead(response, this.pickFraming(), headers, length);
    const timer = setInterval(() => {
      event += 1;
      const text = event <= streamLength ? getEvent(callId, event, this.id) : "";
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
