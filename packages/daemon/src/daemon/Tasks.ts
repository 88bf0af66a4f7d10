import type { ActTask } from "../acts/index.js";
import type { CallerRequestPipeline } from "../callers/index.js";
import type { ChatTask } from "../chat/index.js";
import type { ConfigurationTask } from "../configuration/index.js";
import type { TaskWatch } from "../lifecycle/TaskWatch.js";
import type { GossipTask, PeerLinks } from "../gossip/index.js";
import type { OperationsView } from "../operations/index.js";
import type { PlatformTask } from "../platform/index.js";
import type { ServiceTask } from "../services/index.js";
import type { Recorder } from "../timeline/index.js";
import type { Connections } from "../upstreams/index.js";
import type { Ticker } from "./Ticker.js";

/** The tasks of one daemon. */
export interface Tasks {
  readonly recorder: Recorder;
  readonly connections: Connections;
  readonly platform: PlatformTask;
  readonly configuration: ConfigurationTask;
  readonly links: PeerLinks;
  readonly gossip: GossipTask;
  readonly requestPipeline: CallerRequestPipeline;
  readonly chats: ChatTask;
  readonly services: ServiceTask;
  readonly acts: ActTask;
  readonly view: OperationsView;
  readonly ticker: Ticker;
  readonly watch: TaskWatch;
}
