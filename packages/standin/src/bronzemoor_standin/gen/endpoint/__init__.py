__all__ = ['ttypes', 'constants', 'Endpoint']
