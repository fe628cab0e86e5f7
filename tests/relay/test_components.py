"""Each component is specified by its module and class, which can be imported."""

import pytest

from lynxscale.relay.components import COMPONENTS, Component, ComponentSpec


@pytest.mark.parametrize("spec", COMPONENTS, ids=lambda spec: spec.factory)
def test_factory_resolves_to_a_component(spec: ComponentSpec):
    factory = spec.load()
    assert isinstance(factory, type) and issubclass(factory, Component)
    assert f"{factory.__module__}:{factory.__name__}" == spec.factory


def test_factories_are_distinct():
    assert len({spec.factory for spec in COMPONENTS}) == len(COMPONENTS)
