"""Memory and descriptors that untrusted clients may take."""

from ragwortcourse.ingress.byte_budget import BudgetSpentError, ByteBudget

__all__ = ('BudgetSpentError', 'ByteBudget')
