import { hostListSchema, type HostList, type Instant } from "@pistachioway/kernel";
import { promisify } from "node:util";
import { gunzip } from "node:zlib";
import { request } from "undici";
import { z } from "zod";
import { PlatformStatusError } from "../errors/index.js";

const configurationValueSchema = z.strictObject({
  revision: z.int().min(0),
  value: z.string(),
});

/** A value of the configuration service. */
export type PublishedConfiguration = z.infer<typeof configurationValueSchema>;

/** What a task does with the readings; called in the order of the readings. */
export interface PlatformListener {
  readonly onConfiguration: (published: PublishedConfiguration) => void;
  readonly onHosts: (list: HostList) => void;
  readonly onFailure: (what: PlatformValue, detail: string, retryAt: Instant) => void;
  readonly onCall: (what: PlatformValue, bytes: number) => void;
}

export type PlatformValue = "configuration" | "hosts";

const watchMilliseconds = 25_000;
const callTimeoutMilliseconds = 30_000;
const retryMinimumMilliseconds = 250;
const retryMaximumMilliseconds = 4_000;
const notModifiedStatus = 304;
const gunzipAsync = promisify(gunzip);

const paths: Readonly<Record<PlatformValue, string>> = {
  configuration: "/v1/values/configuration",
  hosts: "/v1/hosts",
};

/** Watches one value of the platform. It only ever reads. */
export class PlatformReader {
  private readonly abort = new AbortController();
  private revision: number | undefined;
  private retryMilliseconds = retryMinimumMilliseconds;

  private constructor(
    private readonly address: string,
    private readonly value: PlatformValue,
    private readonly listener: PlatformListener,
    private readonly getNow: () => Instant,
  ) {}

  /**
   * Creates a reader and starts to watch.
   * @param address - Address of the platform.
   * @param value - Value to watch.
   * @param listener - Functions that take the readings.
   * @param getNow - Reads the clock.
   */
  static create(
    address: string,
    value: PlatformValue,
    listener: PlatformListener,
    getNow: () => Instant,
  ): PlatformReader {
    const reader = new PlatformReader(address, value, listener, getNow);
    void reader.watch();
    return reader;
  }

  /** Stops watching. */
  stop(): void {
    this.abort.abort();
  }

  private async watch(): Promise<void> {
    while (!this.abort.signal.aborted) {
      try {
        await this.readOnce();
        this.retryMilliseconds = retryMinimumMilliseconds;
      } catch (error) {
        await this.waitAfterFailure(error);
      }
    }
  }

  private async readOnce(): Promise<void> {
    const query =
      this.revision === undefined
        ? ""
        : `?after=${String(this.revision)}&wait=${String(watchMilliseconds)}`;
    const answer = await request(`http://${this.address}${paths[this.value]}${query}`, {
      headers: { "accept-encoding": "gzip" },
      signal: AbortSignal.any([this.abort.signal, AbortSignal.timeout(callTimeoutMilliseconds)]),
    });
    const octets = Buffer.from(await answer.body.arrayBuffer());
    this.listener.onCall(this.value, octets.length);
    if (answer.statusCode === notModifiedStatus) {
      return;
    }
    if (answer.statusCode !== 200) {
      throw new PlatformStatusError(this.value, answer.statusCode);
    }
    const isCompressed = answer.headers["content-encoding"] === "gzip";
    const text = (isCompressed ? await gunzipAsync(octets) : octets).toString("utf8");
    this.take(JSON.parse(text));
  }

  private take(document: unknown): void {
    if (this.value === "configuration") {
      const published = configurationValueSchema.parse(document);
      this.revision = published.revision;
      this.listener.onConfiguration(published);
      return;
    }
    const list = hostListSchema.parse(document);
    this.revision = list.revision;
    this.listener.onHosts(list);
  }

  private async waitAfterFailure(error: unknown): Promise<void> {
    if (this.abort.signal.aborted) {
      return;
    }
    const retryAt = this.getNow() + this.retryMilliseconds;
    const detail = error instanceof Error ? error.message : String(error);
    this.listener.onFailure(this.value, detail, retryAt);
    await waitUntil(retryAt, this.getNow, this.abort.signal);
    this.retryMilliseconds = Math.min(this.retryMilliseconds * 2, retryMaximumMilliseconds);
  }
}

async function waitUntil(at: Instant, getNow: () => Instant, signal: AbortSignal): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, Math.max(0, at - getNow()));
    signal.addEventListener("abort", () => {
      clearTimeout(timer);
      resolve();
    });
  });
}
