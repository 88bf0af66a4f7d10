/** Latency and rate of one way to the engines. */
export interface HopFigures {
  readonly path: "direct" | "daemon";
  readonly concurrency: number;
  readonly requestsPerSecond: number;
  readonly medianMilliseconds: number;
  readonly p99Milliseconds: number;
  /** Processor time of the daemon for each request; 0 for the direct way. */
  readonly cpuMicrosecondsPerRequest: number;
}

/** Control traffic of one daemon in a fleet of real processes. */
export interface ControlFigures {
  readonly daemons: number;
  readonly requestsPerSecondPerDaemon: number;
  readonly sentBytesPerSecond: number;
  readonly receivedBytesPerSecond: number;
  /** Processor time of the daemon, as a share of one core. */
  readonly cpuShare: number;
  readonly platformCallsPerSecond: number;
}

/** Heap that one more entry of a kind takes. */
export interface MemoryFigures {
  readonly entry: string;
  readonly entries: number;
  readonly bytesPerEntry: number;
}

/** Cost of a configuration file at a size. */
export interface ConfigurationFigures {
  readonly engines: number;
  readonly teams: number;
  readonly fileBytes: number;
  readonly gzipBytes: number;
  readonly acceptMilliseconds: number;
}

/** Cost of one placement decision. */
export interface DecisionFigures {
  readonly engines: number;
  readonly daemons: number;
  readonly medianMicroseconds: number;
  readonly allocatedBytes: number;
}

/** Everything that the tool measures. */
export interface CapacityFigures {
  readonly hop: readonly HopFigures[];
  readonly control: readonly ControlFigures[];
  readonly memory: readonly MemoryFigures[];
  readonly configuration: readonly ConfigurationFigures[];
  readonly decision: readonly DecisionFigures[];
}
