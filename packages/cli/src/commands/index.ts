import { ConfigCheck } from "./ConfigCheck.js";
import { ConfigDiff } from "./ConfigDiff.js";
import { Explain } from "./Explain.js";
import { RouterCheck } from "./RouterCheck.js";
import { RouterDiff } from "./RouterDiff.js";
import { RouterExplain } from "./RouterExplain.js";
import { RouterStatus } from "./RouterStatus.js";
import { RouterTimeline } from "./RouterTimeline.js";
import { SettingsCheck } from "./SettingsCheck.js";
import { Status } from "./Status.js";
import { Timeline } from "./Timeline.js";

/** The commands by name; a colon separates topic and command. */
export const commands = {
  "config:check": ConfigCheck,
  "config:diff": ConfigDiff,
  explain: Explain,
  "router:check": RouterCheck,
  "router:diff": RouterDiff,
  "router:explain": RouterExplain,
  "router:status": RouterStatus,
  "router:timeline": RouterTimeline,
  "settings:check": SettingsCheck,
  status: Status,
  timeline: Timeline,
};
