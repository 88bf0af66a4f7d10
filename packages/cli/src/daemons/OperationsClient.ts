import {
  collectText,
  eventPageSchema,
  explanationSchema,
  routerStatusSchema,
  routingSchema,
  statusSchema,
  type DaemonStatus,
  type RouterStatus,
  type EventPage,
  type Explanation,
  type Instant,
  type Routing,
} from "@pistachioway/kernel";
import { Result } from "true-myth";
import { request } from "undici";
import { z } from "zod";
import { DaemonResponseError, UnreachableDaemonError } from "../errors/index.js";

const routerStateSchema = z.object({ routing: routingSchema });

export type DaemonFailure = DaemonResponseError | UnreachableDaemonError;

const timeoutMilliseconds = 3_000;
const maxPages = 100;
const httpOk = 200;

/** HTTP client of the operations listener of one daemon. */
export class OperationsClient {
  private constructor(readonly address: string) {}

  /**
   * Creates a client.
   * @param address - Address and port of the operations listener.
   */
  static create(address: string): OperationsClient {
    return new OperationsClient(address);
  }

  /** Gets the status of a daemon. */
  getStatus(): Promise<Result<DaemonStatus, DaemonFailure>> {
    return this.get("/v1/status", statusSchema);
  }

  /** Gets the status of a router. */
  getRouterStatus(): Promise<Result<RouterStatus, DaemonFailure>> {
    return this.get("/status", routerStatusSchema);
  }

  /** Gets the configuration that a router has in force. */
  async getRouting(): Promise<Result<Routing, DaemonFailure>> {
    const state = await this.get("/peer-state?known=-1", routerStateSchema);
    return state.map(({ routing }) => routing);
  }

  /**
   * Gets the engine that the daemon would place a chat on, and why.
   * @param chat - Id of the chat.
   * @param model - Name of the model.
   * @param team - Team of the chat; without it, `chat` must be the id that the engines receive.
   */
  getExplanation(
    chat: string,
    model: string,
    team: string | undefined,
  ): Promise<Result<Explanation, DaemonFailure>> {
    const query = new URLSearchParams({ chat, model, ...(team === undefined ? {} : { team }) });
    return this.get(`/v1/explain?${query.toString()}`, explanationSchema);
  }

  /**
   * Gets the events that the daemon held at the time of the call, merged into one page.
   * @param id - Id of a request, act or chat; without it, all events are read.
   * @param queriedAt - Time of the call; later events may be missing.
   */
  async getEvents(
    id: string | undefined,
    queriedAt: Instant,
  ): Promise<Result<EventPage, DaemonFailure>> {
    let merged = await this.getEventPage(undefined, id);
    let latest = merged;
    for (let count = 1; count < maxPages && merged.isOk && latest.isOk; count++) {
      if (isLastPage(latest.value, queriedAt)) {
        return merged;
      }
      latest = await this.getEventPage(latest.value.next, id);
      merged = latest.isOk ? Result.ok(mergePages(merged.value, latest.value)) : latest;
    }
    return merged;
  }

  private getEventPage(
    after: number | undefined,
    id: string | undefined,
  ): Promise<Result<EventPage, DaemonFailure>> {
    const query = new URLSearchParams();
    if (after !== undefined) {
      query.set("after", String(after));
    }
    if (id !== undefined) {
      query.set("id", id);
    }
    const path = query.size === 0 ? "/v1/events" : `/v1/events?${query.toString()}`;
    return this.get(path, eventPageSchema);
  }

  private async get<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, DaemonFailure>> {
    try {
      const response = await request(`http://${this.address}${path}`, {
        signal: AbortSignal.timeout(timeoutMilliseconds),
      });
      const text = await collectText(response.body);
      return this.parseResponse(path, response.statusCode, text, schema);
    } catch (error) {
      return Result.err(new UnreachableDaemonError(this.address, getReason(error)));
    }
  }

  private parseResponse<Schema extends z.ZodType>(
    path: string,
    statusCode: number,
    text: string,
    schema: Schema,
  ): Result<z.infer<Schema>, DaemonFailure> {
    if (statusCode !== httpOk) {
      return this.fail(path, `status ${String(statusCode)} ${getDetail(text)}`.trim());
    }
    const json = parseJson(text);
    if (json.isErr) {
      return this.fail(path, json.error);
    }
    const parsed = schema.safeParse(json.value);
    if (parsed.success) {
      return Result.ok(parsed.data);
    }
    const issue = parsed.error.issues[0];
    return this.fail(
      path,
      `${issue?.path.join(".") ?? ""}: ${issue?.message ?? "does not match the schema"}`,
    );
  }

  private fail<Value>(path: string, reason: string): Result<Value, DaemonFailure> {
    return Result.err(new DaemonResponseError(this.address, path, reason));
  }
}

function isLastPage(page: EventPage, queriedAt: Instant): boolean {
  const last = page.events.at(-1);
  return last === undefined || last.at >= queriedAt;
}

function mergePages(first: EventPage, second: EventPage): EventPage {
  return {
    ...second,
    events: [...first.events, ...second.events],
    dropped: Math.max(first.dropped, second.dropped),
  };
}

function parseJson(text: string): Result<unknown, string> {
  try {
    return Result.ok(JSON.parse(text) as unknown);
  } catch {
    return Result.err("not JSON");
  }
}

/** Gets the `detail` of a problem response; empty when the text is not one. */
function getDetail(text: string): string {
  const json = parseJson(text);
  const problem = json.isOk ? json.value : undefined;
  const hasDetail = typeof problem === "object" && problem !== null && "detail" in problem;
  return hasDetail ? String(problem.detail) : "";
}

function getReason(error: unknown): string {
  if (!(error instanceof Error)) {
    return String(error);
  }
  const code = "code" in error && typeof error.code === "string" ? error.code : error.name;
  return error.message === "" ? code : error.message;
}
