import { WindowBudget, type WindowBudgetTerms } from "@pistachioway/kernel";

/** The retry budget of each service. */
export class ServiceBudgets {
  private readonly budgetsByService = new Map<string, WindowBudget>();

  private constructor(private readonly terms: WindowBudgetTerms) {}

  /**
   * Creates unused budgets.
   * @param terms - What the fleet may spend on each service.
   */
  static create(terms: WindowBudgetTerms): ServiceBudgets {
    return new ServiceBudgets(terms);
  }

  /** Gets the budget of a service, creating it on first use. */
  get(service: string): WindowBudget {
    let budget = this.budgetsByService.get(service);
    if (budget === undefined) {
      budget = WindowBudget.create(this.terms);
      this.budgetsByService.set(service, budget);
    }
    return budget;
  }
}
