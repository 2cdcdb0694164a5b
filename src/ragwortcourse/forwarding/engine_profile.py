"""Speeds and sizes of the engines of a service."""

import dataclasses

from ragwortcourse.identifiers import ModelName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Speeds and sizes of the model engines of one service.

    :param slots: requests that an engine runs at once.
    :param step: fixed seconds of a decode step, without the part that running
        requests add.
    :param step_per_request: seconds that each running request adds to a step.
    :param prefill_rate: prompt tokens processed in a second.
    :param steps_per_pass: decode steps in one pass.
    :param mean_prompt_tokens: mean length of a prompt.
    :param mean_answer_tokens: mean length of an answer.
    :param layers: layers of the whole model.
    :param chunks: chunks of the weights.
    :param chunk_bytes: bytes of each chunk.
    :param memory_tokens: tokens of prompts and answers that an engine holds at
        once, before it crashes; zero: not known.
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
    memory_tokens: int = 0
