import type { Configuration, Model, Service, Team } from "@pistachioway/kernel";

/** Look-ups over one accepted configuration. */
export class ConfigurationIndex {
  private readonly teamsByTokenHash: ReadonlyMap<string, Team>;
  private readonly servicesByName: ReadonlyMap<string, Service>;
  private readonly modelsByName: ReadonlyMap<string, Model>;

  private readonly enginesByModel: ReadonlyMap<string, readonly string[]>;

  private constructor(readonly configuration: Configuration) {
    this.enginesByModel = new Map(
      configuration.models.map(({ name }) => [name, getServingEngines(configuration, name)]),
    );
    this.teamsByTokenHash = new Map(configuration.teams.map((team) => [team.tokenSha256, team]));
    this.servicesByName = new Map(configuration.services.map((item) => [item.name, item]));
    this.modelsByName = new Map(configuration.models.map((model) => [model.name, model]));
  }

  /**
   * Creates the look-ups.
   * @param configuration - Accepted configuration.
   */
  static create(configuration: Configuration): ConfigurationIndex {
    return new ConfigurationIndex(configuration);
  }

  /**
   * Gets the team of a token.
   * @param tokenSha256 - SHA-256 of the token in lower-case hexadecimal.
   */
  getTeam(tokenSha256: string): Team | undefined {
    return this.teamsByTokenHash.get(tokenSha256);
  }

  /**
   * Gets a plain service.
   * @param name - Name of the service.
   */
  getService(name: string): Service | undefined {
    return this.servicesByName.get(name);
  }

  /**
   * Checks whether the configuration has a model.
   * @param name - Name of the model.
   */
  hasModel(name: string): boolean {
    return this.modelsByName.has(name);
  }

  /**
   * Gets the region of an availability zone.
   * @param zone - Name of the zone.
   */
  getRegion(zone: string): string | undefined {
    return this.configuration.zones.find((item) => item.name === zone)?.region;
  }

  /**
   * Gets the names of the engines that serve a model.
   * @param model - Name of the model.
   */
  getEngines(model: string): readonly string[] {
    return this.enginesByModel.get(model) ?? [];
  }

  /**
   * Checks whether a call to a service is idempotent. The longest matching path prefix decides.
   * @param service - Called service.
   * @param method - HTTP method.
   * @param path - Path relative to the service.
   */
  isRepeatable(service: Service, method: string, path: string): boolean {
    const matches = service.routes
      .filter((route) => route.method === method && isBelow(path, route.path))
      .sort((a, b) => b.path.length - a.path.length);
    return matches[0]?.repeatable ?? false;
  }
}

function getServingEngines(configuration: Configuration, model: string): string[] {
  return configuration.engines
    .filter((engine) => engine.role === "serve" && engine.models.includes(model))
    .map((engine) => engine.name);
}

/** Checks whether a path equals a prefix or starts with it as whole segments. */
function isBelow(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) {
    return false;
  }
  return prefix.endsWith("/") || path.length === prefix.length || path[prefix.length] === "/";
}
