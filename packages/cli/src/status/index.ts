export { getConcerns } from "./getConcerns.js";
export { formatDaemons, formatEngines, formatServices, formatTeams } from "./tables.js";
