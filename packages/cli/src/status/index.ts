export { getConcerns } from "./getConcerns.js";
export { formatDaemons, formatEngines, formatServices, formatTeams } from "./tables.js";
export { formatRouters, formatUpstreams, getRouterConcerns } from "./routers.js";
