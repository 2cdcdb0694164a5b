"""How fast the engines of a service are."""

import dataclasses

from ragwortcourse.identifiers import ModelName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Speeds and sizes of the model engines of one service.

    :param slots: requests that an engine runs at once.
    :param step: seconds of a token step that nobody shares.
    :param step_per_request: seconds that each running request adds.
    :param prefill_rate: prompt tokens read in a second.
    :param steps_per_pass: steps in one pass.
    :param mean_prompt_tokens: mean prompt, in tokens.
    :param mean_answer_tokens: mean answer, in tokens.
    :param layers: layers of the whole model.
    :param chunks: chunks that its weights come in.
    :param chunk_bytes: bytes of each of them.
    """

    model: ModelName
    slots: int
    step: float
    step_per_request: float
    prefill_rate: float
    steps_per_pass: int
    mean_prompt_tokens: float
    mean_answer_tokens: float
    layers: int
    chunks: int
    chunk_bytes: int
